/** Structured log lines. */
@NullMarked
package io.samphiredyke.gateway.log;

import org.jspecify.annotations.NullMarked;
