/** Structured logging. */
@NullMarked
package io.samphiredyke.gateway.log;

import org.jspecify.annotations.NullMarked;
