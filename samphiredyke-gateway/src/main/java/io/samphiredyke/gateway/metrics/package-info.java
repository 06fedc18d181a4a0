/** Counters, gauges and histograms in the Prometheus format. */
@NullMarked
package io.samphiredyke.gateway.metrics;

import org.jspecify.annotations.NullMarked;
