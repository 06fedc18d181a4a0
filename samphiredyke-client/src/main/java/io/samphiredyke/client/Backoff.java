package io.samphiredyke.client;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential pauses with full jitter.
 *
 * @param initialDelay the upper bound of the first pause
 * @param maxDelay the upper bound of any pause
 */
public record Backoff(Duration initialDelay, Duration maxDelay) {

  private static final int MAX_DOUBLINGS = 20;

  /** Returns usual pauses: from 50 ms up to 2 s. */
  public static Backoff defaults() {
    return new Backoff(Duration.ofMillis(50), Duration.ofSeconds(2));
  }

  /**
   * Returns the pause after a number of failures in a row, in nanoseconds.
   *
   * @param failures failures in a row, at least 1
   * @param random chooses the part of the bound; at least half of it is waited
   */
  public long delayNanos(int failures, RandomGenerator random) {
    int doublings = Math.min(Math.max(failures - 1, 0), MAX_DOUBLINGS);
    long bound = Math.min(initialDelay.toNanos() << doublings, maxDelay.toNanos());
    return bound / 2 + random.nextLong(bound / 2 + 1);
  }
}
