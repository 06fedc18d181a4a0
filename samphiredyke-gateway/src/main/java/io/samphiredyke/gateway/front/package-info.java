/** Connections of callers. */
@NullMarked
package io.samphiredyke.gateway.front;

import org.jspecify.annotations.NullMarked;
