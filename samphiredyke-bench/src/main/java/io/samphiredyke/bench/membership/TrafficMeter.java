package io.samphiredyke.bench.membership;

import static io.samphiredyke.bench.membership.SimulatedGroup.NANOS_PER_SECOND;

/** Measures the traffic of a group since the creation of the meter. */
final class TrafficMeter {

  private static final long WINDOW_NANOS = 5 * NANOS_PER_SECOND;

  private final SimulatedGroup group;
  private final long[] bytesAtStart;
  private final long start;
  private double peak;

  TrafficMeter(SimulatedGroup group) {
    this.group = group;
    this.bytesAtStart = group.nodes.stream().mapToLong(node -> node.bytes).toArray();
    this.start = group.now();
  }

  /** Runs the group for the given time and records the busiest window. */
  void runAndMeasure(long nanos) {
    long end = group.now() + nanos;
    while (group.now() < end) {
      long bytes = totalBytes();
      long windowStart = group.now();
      group.runUntil(Math.min(end, windowStart + WINDOW_NANOS));
      double seconds = (group.now() - windowStart) / (double) NANOS_PER_SECOND;
      peak = Math.max(peak, (totalBytes() - bytes) / seconds / group.nodes.size());
    }
  }

  private long totalBytes() {
    return group.nodes.stream().mapToLong(node -> node.bytes).sum();
  }

  private double seconds() {
    return Math.max(1, group.now() - start) / (double) NANOS_PER_SECOND;
  }

  /** Returns the mean traffic per node, sent and received, in bytes per second. */
  double mean() {
    long total = 0;
    for (SimulatedNode node : group.nodes) {
      total += node.bytes - bytesAtStart[node.index];
    }
    return total / seconds() / group.nodes.size();
  }

  /** Returns the traffic of the busiest node, in bytes per second. */
  double busiest() {
    long maxBytes = 0;
    for (SimulatedNode node : group.nodes) {
      maxBytes = Math.max(maxBytes, node.bytes - bytesAtStart[node.index]);
    }
    return maxBytes / seconds();
  }

  /** Returns the mean traffic per node in the busiest window, in bytes per second. */
  double peak() {
    return peak;
  }
}
