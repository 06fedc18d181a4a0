package io.samphiredyke.daemon.response;

import java.util.concurrent.atomic.AtomicLong;

/** Counts the bytes of all answers and request bodies that a process holds. Thread-safe. */
public final class MemoryBudget {

  private final long limit;
  private final AtomicLong held = new AtomicLong();

  /**
   * Creates a count of nothing.
   *
   * @param limit the bytes above which the memory is full
   */
  public MemoryBudget(long limit) {
    this.limit = limit;
  }

  /** Counts bytes that are held from now on. */
  public void add(long bytes) {
    held.addAndGet(bytes);
  }

  /** Counts bytes that are not held any more. */
  public void release(long bytes) {
    held.addAndGet(-bytes);
  }

  /** Returns the bytes held. */
  public long held() {
    return held.get();
  }

  /** Returns whether the limit is reached: new requests are refused until bytes are released. */
  public boolean isFull() {
    return held.get() >= limit;
  }
}
