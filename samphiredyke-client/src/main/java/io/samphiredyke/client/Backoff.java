package io.samphiredyke.client;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential back-off with equal jitter: each delay is between half of the upper bound and the
 * bound.
 *
 * @param initialDelay the upper bound of the first delay
 * @param maxDelay the upper bound of all delays
 */
public record Backoff(Duration initialDelay, Duration maxDelay) {

  /** Limits the shift of the initial delay, which overflows after many failures. */
  private static final int MAX_DOUBLINGS = 20;

  /** Returns the default back-off, from 50 ms to 2 s. */
  public static Backoff defaults() {
    return new Backoff(Duration.ofMillis(50), Duration.ofSeconds(2));
  }

  /**
   * Returns the delay after a number of consecutive failures, in nanoseconds.
   *
   * @param failures the number of consecutive failures, at least 1
   * @param random selects the delay between half of the upper bound and the bound
   */
  public long delayNanos(int failures, RandomGenerator random) {
    int doublings = Math.min(Math.max(failures - 1, 0), MAX_DOUBLINGS);
    long bound = Math.min(initialDelay.toNanos() << doublings, maxDelay.toNanos());
    return bound / 2 + random.nextLong(bound / 2 + 1);
  }
}
