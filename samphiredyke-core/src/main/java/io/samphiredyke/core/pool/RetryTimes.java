package io.samphiredyke.core.pool;

import java.util.random.RandomGenerator;

/**
 * Retry times of refused requests: bounded, and spread so that the callers don't return at once.
 */
final class RetryTimes {

  /** Longest retry time, milliseconds. */
  static final long MAX_MILLIS = 5_000;

  /** Retry time of a request whose wait isn't estimated, milliseconds. */
  private static final long DEFAULT_MILLIS = 500;

  private static final long MIN_MILLIS = 50;

  /** Largest part by which a retry time deviates at random. */
  private static final double SPREAD = 0.2;

  private static final double NANOS_PER_MILLI = 1e6;

  private final RandomGenerator random;

  RetryTimes(RandomGenerator random) {
    this.random = random;
  }

  /** Returns the refusal of a request whose wait isn't estimated. */
  SlotRefusal refusal(SlotRefusal.Reason reason) {
    return refusal(reason, (long) (DEFAULT_MILLIS * NANOS_PER_MILLI));
  }

  /**
   * Returns the refusal of a request.
   *
   * @param waitNanos time after which its slot is expected to be free
   */
  SlotRefusal refusal(SlotRefusal.Reason reason, long waitNanos) {
    double spread = 1 - SPREAD + 2 * SPREAD * random.nextDouble();
    double latestMillis = MAX_MILLIS / (1 + SPREAD);
    double millis = Math.min(latestMillis, waitNanos / NANOS_PER_MILLI) * spread;
    return new SlotRefusal(reason, Math.max(MIN_MILLIS, (long) millis));
  }
}
