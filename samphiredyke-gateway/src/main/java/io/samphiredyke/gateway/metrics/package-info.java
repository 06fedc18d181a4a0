/** Counters and histograms. */
@NullMarked
package io.samphiredyke.gateway.metrics;

import org.jspecify.annotations.NullMarked;
