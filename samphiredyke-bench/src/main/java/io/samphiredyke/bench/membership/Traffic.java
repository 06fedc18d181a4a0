package io.samphiredyke.bench.membership;

import static io.samphiredyke.bench.membership.SimulatedGroup.SECOND;

/** Counts the bytes that nodes send and receive, from its creation on. */
final class Traffic {

  private static final long WINDOW = 5 * SECOND;

  private final SimulatedGroup group;
  private final long[] before;
  private final long start;
  private double peak;

  Traffic(SimulatedGroup group) {
    this.group = group;
    this.before = group.nodes.stream().mapToLong(node -> node.bytes).toArray();
    this.start = group.now();
  }

  /** Runs the group on and notes the busiest window. */
  void follow(long nanos) {
    long end = group.now() + nanos;
    while (group.now() < end) {
      long bytes = sum();
      long windowStart = group.now();
      group.runUntil(Math.min(end, windowStart + WINDOW));
      double seconds = (group.now() - windowStart) / (double) SECOND;
      peak = Math.max(peak, (sum() - bytes) / seconds / group.nodes.size());
    }
  }

  private long sum() {
    return group.nodes.stream().mapToLong(node -> node.bytes).sum();
  }

  private double seconds() {
    return Math.max(1, group.now() - start) / (double) SECOND;
  }

  /** Bytes per second of a node, sent and received, on average. */
  double mean() {
    long total = 0;
    for (SimulatedNode node : group.nodes) {
      total += node.bytes - before[node.index];
    }
    return total / seconds() / group.nodes.size();
  }

  /** Bytes per second of the busiest node. */
  double busiest() {
    long most = 0;
    for (SimulatedNode node : group.nodes) {
      most = Math.max(most, node.bytes - before[node.index]);
    }
    return most / seconds();
  }

  /** Bytes per second of a node on average in the busiest window. */
  double peak() {
    return peak;
  }
}
