package io.samphiredyke.core.pool;

/**
 * How fast the slots of a service become free and how fast work arrives for them.
 *
 * <p>Load pattern: bursts that exceed the capacity for seconds. It tells after how long the request
 * at a position of the queue is expected to get a slot, and when a refused one should return.
 */
final class SlotTurnover {

  private static final double NANOS_PER_MILLI = 1e6;

  /** Weight of a grant in the mean time that a slot is held. */
  private static final double HOLD_SMOOTHING = 0.02;

  /**
   * Time constant of the arrival rate, milliseconds; shorter than the bursts that it has to see.
   */
  private static final double LOAD_WINDOW_MILLIS = 1_000;

  /** Bound of the load in estimates, so that no wait is estimated as endless. */
  private static final double MAX_LOAD = 0.95;

  private double meanHoldMillis;
  private double arrivedMillis;
  private long arrivedAt;
  private long nextReturnAt = Long.MIN_VALUE;

  /** Records the arrival of a request that is expected to hold a slot for a time. */
  void arrived(double holdMillis, long now) {
    decay(now);
    arrivedMillis += holdMillis;
  }

  private void decay(long now) {
    double elapsedMillis = Math.max(0, now - arrivedAt) / NANOS_PER_MILLI;
    arrivedMillis *= Math.exp(-elapsedMillis / LOAD_WINDOW_MILLIS);
    arrivedAt = now;
  }

  /** Records a grant that is expected to hold a slot for a time. */
  void granted(double holdMillis) {
    meanHoldMillis =
        meanHoldMillis == 0
            ? holdMillis
            : meanHoldMillis + HOLD_SMOOTHING * (holdMillis - meanHoldMillis);
  }

  double meanHoldMillis() {
    return meanHoldMillis;
  }

  /** Returns the share of the slots that the arriving work needs, at most {@link #MAX_LOAD}. */
  private double load(double slots, long now) {
    decay(now);
    return Math.min(MAX_LOAD, arrivedMillis / LOAD_WINDOW_MILLIS / slots);
  }

  /**
   * Returns the expected time until the slot for the request at a position of the queue is free,
   * nanoseconds.
   *
   * @param position number of requests before it
   */
  long expectedWait(int position, double slots) {
    return (long) ((position + 1) * meanHoldMillis / slots * NANOS_PER_MILLI);
  }

  /** Returns the expected wait of a request that arriving ones may overtake, nanoseconds. */
  long expectedLateWait(int position, double slots, long now) {
    return (long) (expectedWait(position, slots) / (1 - load(slots, now)));
  }

  /**
   * Returns when a refused request is expected to find a free slot: after the waiting requests and
   * after those refused before it, which return too, at the rate that the arrivals leave.
   */
  long nextReturn(double holdMillis, int waiting, double slots, long now) {
    double share = 1 - load(slots, now);
    long afterQueue = now + expectedWait(waiting, slots);
    long turn = (long) (holdMillis * NANOS_PER_MILLI / slots / share);
    nextReturnAt = Math.max(nextReturnAt, afterQueue) + turn;
    return nextReturnAt;
  }

  /** Bounds the schedule of returns, because no caller waits longer than a time. */
  void limitReturns(long latest) {
    nextReturnAt = Math.min(nextReturnAt, latest);
  }
}
