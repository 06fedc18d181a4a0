package io.samphiredyke.core.pool;

/** A request that waits for a slot, with its position in the {@link WaitingQueue}. */
final class WaitingRequest {

  /** How many ranks a request beyond its customer's share falls: behind its rank, not the next. */
  private static final double BEYOND_SHARE_RANKS = 0.25;

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

  /** What was charged to its customer's share, see {@link CustomerShares#charge}. */
  final long charged;

  boolean isLate;

  /** Whether its requester reaches no endpoint, as far as is known. */
  boolean isWithoutPath;

  WaitingRequest(
      SlotRequest request,
      long latestOnTimeStart,
      double holdMillis,
      double density,
      boolean hasArrivedLate,
      long charged) {
    this.request = request;
    this.latestOnTimeStart = latestOnTimeStart;
    this.holdMillis = holdMillis;
    this.density = density;
    this.hasArrivedLate = hasArrivedLate;
    this.charged = charged;
    this.effectiveRank = shareRank();
  }

  /** Returns whether its customer has more work than its share. */
  boolean isBeyondShare() {
    return charged < 0;
  }

  /** Returns the reason of its refusal, if no slot is expected to be free for it in time. */
  SlotRefusal.Reason overloadReason() {
    return isBeyondShare() ? SlotRefusal.Reason.BEYOND_SHARE : SlotRefusal.Reason.OVERLOADED;
  }

  /** Returns the rank by which it is ordered while it can be on time. */
  double shareRank() {
    return request.rank() + (isBeyondShare() ? BEYOND_SHARE_RANKS : 0);
  }
}
