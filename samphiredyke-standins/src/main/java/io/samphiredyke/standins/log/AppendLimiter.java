package io.samphiredyke.standins.log;

/** A token bucket with a capacity of one second's appends. Not thread-safe. */
final class AppendLimiter {

  private static final double NANOS_PER_SECOND = 1e9;

  private final long start;
  private double rate;
  private double tokens;
  private long refilledAt;

  AppendLimiter(double appendsPerSecond, long now) {
    this.rate = appendsPerSecond;
    this.tokens = appendsPerSecond;
    this.start = now;
  }

  void rate(double appendsPerSecond) {
    rate = appendsPerSecond;
    tokens = Math.min(tokens, rate);
  }

  /** Takes a token if one is available; returns whether it did. */
  boolean tryAcquire(long now) {
    long elapsed = now - start;
    tokens = Math.min(Math.max(rate, 1), tokens + (elapsed - refilledAt) * rate / NANOS_PER_SECOND);
    refilledAt = elapsed;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
