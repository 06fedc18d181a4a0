package io.samphiredyke.core.pool;

/**
 * Bounds the repeats of requests to one service to a share of its first requests.
 *
 * <p>It answers retry storms: when most endpoints fail, repeats would multiply the load.
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

  void first() {
    tokens = Math.min(capacity, tokens + ratio);
  }

  boolean takeRepeat() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
