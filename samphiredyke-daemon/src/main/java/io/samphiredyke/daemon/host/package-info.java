/** The identity of the local host. */
@NullMarked
package io.samphiredyke.daemon.host;

import org.jspecify.annotations.NullMarked;
