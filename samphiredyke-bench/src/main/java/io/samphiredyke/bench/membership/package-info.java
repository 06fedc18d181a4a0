/**
 * Benchmarks of the membership state machine with many members in one process and simulated time.
 */
@NullMarked
package io.samphiredyke.bench.membership;

import org.jspecify.annotations.NullMarked;
