package io.samphiredyke.core.routing;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter, so that those who failed together don't return together.
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
   * @param failures failures before this wait, from 0
   */
  public long waitNanos(int failures) {
    int doublings = Math.max(0, Math.min(failures, DOUBLINGS_MAXIMUM));
    double bound = Math.min(maximumNanos, baseNanos * Math.pow(2, doublings));
    return (long) (random.nextDouble() * bound);
  }

  /**
   * Returns a caller's time to wait, spread over half to one and a half of the expected one.
   *
   * @param expectedNanos time after which a retry is expected to succeed
   */
  public long spreadNanos(long expectedNanos) {
    return (long) (expectedNanos * (0.5 + random.nextDouble()));
  }
}
