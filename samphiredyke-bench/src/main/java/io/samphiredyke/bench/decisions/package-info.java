/**
 * Benchmark of scheduling decisions under load: runs the production decision code against engine
 * models on a simulated clock.
 */
@NullMarked
package io.samphiredyke.bench.decisions;

import org.jspecify.annotations.NullMarked;
