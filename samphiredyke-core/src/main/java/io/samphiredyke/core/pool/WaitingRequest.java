package io.samphiredyke.core.pool;

/** A request that waits for a slot, with its position in the {@link WaitingQueue}. */
final class WaitingRequest {

  final SlotRequest request;

  /** Latest start with which its first event, or its response, still meets the objective. */
  final long latestOnTimeStart;

  /** Expected time that it holds a slot, milliseconds. */
  final double holdMillis;

  /** Value per expected time, relative to the mean of its rank. */
  final double density;

  /** Rank by which it is ordered: its own while it can be on time, a lower one afterwards. */
  double effectiveRank;

  /** Whether it could not meet its objective any more when it arrived. */
  final boolean hasArrivedLate;

  boolean isLate;

  WaitingRequest(
      SlotRequest request,
      long latestOnTimeStart,
      double holdMillis,
      double density,
      boolean hasArrivedLate) {
    this.request = request;
    this.latestOnTimeStart = latestOnTimeStart;
    this.holdMillis = holdMillis;
    this.density = density;
    this.hasArrivedLate = hasArrivedLate;
    this.effectiveRank = request.rank();
  }
}
