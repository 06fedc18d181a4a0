package io.samphiredyke.core.routing;

import java.util.concurrent.TimeUnit;

/**
 * Bounds retries to a fraction of the requests, so that retries don't amplify an overload.
 *
 * <p>Each request adds a fraction of a retry up to a maximum. Some retries per second are always
 * added, so that requests can be retried under low traffic too.
 */
public final class RetryBudget {

  private final double retriesPerRequest;
  private final double retriesPerSecond;
  private final double maximum;
  private double available;
  private long refilledAt;

  /**
   * Creates a full budget.
   *
   * @param retriesPerRequest retries that each request adds
   * @param retriesPerSecond retries that each second adds
   * @param maximum largest number of retries that may accumulate
   * @param now current time, nanoseconds
   */
  public RetryBudget(double retriesPerRequest, double retriesPerSecond, double maximum, long now) {
    this.retriesPerRequest = retriesPerRequest;
    this.retriesPerSecond = retriesPerSecond;
    this.maximum = maximum;
    available = maximum;
    refilledAt = now;
  }

  /** Counts a first attempt. */
  public void requestStarted(long now) {
    refill(now);
    available = Math.min(maximum, available + retriesPerRequest);
  }

  /** Takes one retry from the budget; returns whether one was left. */
  public boolean tryRetry(long now) {
    refill(now);
    if (available < 1) {
      return false;
    }
    available--;
    return true;
  }

  private void refill(long now) {
    double seconds = (double) (now - refilledAt) / TimeUnit.SECONDS.toNanos(1);
    available = Math.min(maximum, available + seconds * retriesPerSecond);
    refilledAt = now;
  }
}
