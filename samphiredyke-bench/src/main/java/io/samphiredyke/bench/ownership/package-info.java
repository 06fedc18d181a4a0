/** Comparison of protocols for at-most-once dispatch of requests. */
@NullMarked
package io.samphiredyke.bench.ownership;

import org.jspecify.annotations.NullMarked;
