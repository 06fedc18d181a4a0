package io.samphiredyke.client.internal;

/**
 * Limits retries to a fraction of the requests, so that retries do not amplify an overload.
 *
 * <p>Each request deposits a fraction of a retry, and each retry withdraws one. Thread-safe.
 */
public final class RetryBudget {

  /** Maximum number of retries that can be saved up. */
  private static final double MAX_BALANCE = 50;

  /** Number of retries available to a new client. */
  private static final double INITIAL_BALANCE = 10;

  private final double ratio;
  private double balance = INITIAL_BALANCE;

  /** Creates a budget to which each request adds the given fraction of a retry. */
  public RetryBudget(double ratio) {
    this.ratio = ratio;
  }

  /** Adds the share of a new request to the balance. */
  public synchronized void deposit() {
    balance = Math.min(MAX_BALANCE, balance + ratio);
  }

  /** Withdraws one retry; returns false if the balance is too low. */
  public synchronized boolean tryWithdraw() {
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }
}
