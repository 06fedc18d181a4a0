/**
 * Bench for the decisions under load: production decision code over engine models on a paused
 * clock.
 */
@NullMarked
package io.samphiredyke.bench.decisions;

import org.jspecify.annotations.NullMarked;
