package io.samphiredyke.client.internal;

/**
 * Bounds the retries to a part of the requests, so that callers don't multiply an overload.
 *
 * <p>Each request earns a part of a retry, each retry spends one. Safe for use by several threads.
 */
public final class RetryBudget {

  private static final double MAX_BALANCE = 50;
  private static final double INITIAL_BALANCE = 10;

  private final double ratio;
  private double balance = INITIAL_BALANCE;

  /** Creates a budget of which each request earns the given part of a retry. */
  public RetryBudget(double ratio) {
    this.ratio = ratio;
  }

  /** Notes a new request. */
  public synchronized void deposit() {
    balance = Math.min(MAX_BALANCE, balance + ratio);
  }

  /** Takes a retry, or returns false if none is left. */
  public synchronized boolean tryWithdraw() {
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }
}
