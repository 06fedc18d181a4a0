/** The gateway process that serves callers on the users' platform. */
@NullMarked
package io.samphiredyke.gateway;

import org.jspecify.annotations.NullMarked;
