package io.samphiredyke.core.routing;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter, so that clients that failed together don't retry together.
 */
public final class Backoff {

  private static final int DOUBLINGS_MAXIMUM = 30;

  private final long baseNanos;
  private final long maximumNanos;
  private final RandomGenerator random;

  /**
   * Creates a backoff.
   *
   * @param baseNanos upper bound of the first wait
   * @param maximumNanos upper bound of all waits
   * @param random source of the jitter
   */
  public Backoff(long baseNanos, long maximumNanos, RandomGenerator random) {
    this.baseNanos = baseNanos;
    this.maximumNanos = maximumNanos;
    this.random = random;
  }

  /**
   * Returns how long to wait.
   *
   * @param failures number of failures before this wait, from 0
   */
  public long waitNanos(int failures) {
    int doublings = Math.max(0, Math.min(failures, DOUBLINGS_MAXIMUM));
    double bound = Math.min(maximumNanos, baseNanos * Math.pow(2, doublings));
    return (long) (random.nextDouble() * bound);
  }

  /**
   * Returns the retry time for a caller: the expected time, with a jitter of plus or minus half of
   * it.
   *
   * @param expectedNanos time after which a retry is expected to succeed
   */
  public long spreadNanos(long expectedNanos) {
    return (long) (expectedNanos * (0.5 + random.nextDouble()));
  }
}
