package io.samphiredyke.daemon.response;

import java.util.concurrent.atomic.AtomicLong;

/** Tracks the bytes of all buffered responses and request bodies of a process. Thread-safe. */
public final class MemoryBudget {

  private final long limit;
  private final AtomicLong usedBytes = new AtomicLong();

  /**
   * Creates an unused budget.
   *
   * @param limit the number of bytes from which on the budget is exhausted
   */
  public MemoryBudget(long limit) {
    this.limit = limit;
  }

  /** Charges bytes to the budget. */
  public void charge(long bytes) {
    usedBytes.addAndGet(bytes);
  }

  /** Returns bytes to the budget. */
  public void release(long bytes) {
    usedBytes.addAndGet(-bytes);
  }

  /** Returns the number of bytes in use. */
  public long usedBytes() {
    return usedBytes.get();
  }

  /** Returns whether the limit is reached. New requests are refused until bytes are released. */
  public boolean isFull() {
    return usedBytes.get() >= limit;
  }
}
