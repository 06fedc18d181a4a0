package io.samphiredyke.core.pool;

/**
 * Bounds the retries of requests to one service to a fraction of its first attempts.
 *
 * <p>Prevents retry storms: when most endpoints fail, unbounded retries would multiply the load.
 */
final class RetryBudget {

  private final double ratio;
  private final double capacity;
  private double tokens;

  RetryBudget(double ratio, double capacity) {
    this.ratio = ratio;
    this.capacity = capacity;
    this.tokens = capacity;
  }

  void requestStarted() {
    tokens = Math.min(capacity, tokens + ratio);
  }

  boolean tryRetry() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
