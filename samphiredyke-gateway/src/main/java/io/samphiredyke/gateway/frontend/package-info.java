/** Connections of callers. */
@NullMarked
package io.samphiredyke.gateway.frontend;

import org.jspecify.annotations.NullMarked;
