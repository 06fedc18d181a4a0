package io.samphiredyke.bench.membership;

import static io.samphiredyke.bench.membership.SimulatedGroup.NANOS_PER_SECOND;

/** Counts the bytes that nodes send and receive, from its creation on. */
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

  /** Runs the group on and notes the busiest window. */
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

  /** Bytes per second of a node, sent and received, on average. */
  double mean() {
    long total = 0;
    for (SimulatedNode node : group.nodes) {
      total += node.bytes - bytesAtStart[node.index];
    }
    return total / seconds() / group.nodes.size();
  }

  /** Bytes per second of the busiest node. */
  double busiest() {
    long most = 0;
    for (SimulatedNode node : group.nodes) {
      most = Math.max(most, node.bytes - bytesAtStart[node.index]);
    }
    return most / seconds();
  }

  /** Bytes per second of a node on average in the busiest window. */
  double peak() {
    return peak;
  }
}
