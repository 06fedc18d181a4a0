package io.samphiredyke.core.routing;

/**
 * Whether an endpoint or peer may be tried, from the failures seen in a row.
 *
 * <p>Opens after some failures in a row, lets one attempt through after a backoff, closes when it
 * succeeds and waits longer when it fails.
 */
public final class CircuitBreaker {

  /** States of a circuit. */
  public enum State {
    /** Attempts are allowed. */
    CLOSED,
    /** No attempt is allowed. */
    OPEN,
    /** One attempt is under way to find out. */
    HALF_OPEN
  }

  private final int failuresToOpen;
  private final Backoff backoff;
  private final long minimumOpenNanos;
  private State state = State.CLOSED;
  private int failures;
  private int openings;
  private long probeAt;

  /**
   * Creates a closed circuit.
   *
   * @param failuresToOpen failures in a row that open it
   * @param minimumOpenNanos least time that it stays open
   * @param backoff time added to that
   */
  public CircuitBreaker(int failuresToOpen, long minimumOpenNanos, Backoff backoff) {
    this.failuresToOpen = failuresToOpen;
    this.minimumOpenNanos = minimumOpenNanos;
    this.backoff = backoff;
  }

  /** Returns the state. */
  public State state() {
    return state;
  }

  /** Returns whether an attempt may be made now; the first after the backoff is the probe. */
  public boolean tryAcquire(long now) {
    if (state == State.CLOSED) {
      return true;
    }
    if (now < probeAt) {
      return false;
    }
    state = State.HALF_OPEN;
    probeAt = now + minimumOpenNanos;
    return true;
  }

  /** Notes a success. */
  public void succeeded() {
    state = State.CLOSED;
    failures = 0;
    openings = 0;
  }

  /** Notes a failure. */
  public void failed(long now) {
    failures++;
    if (state == State.CLOSED && failures < failuresToOpen) {
      return;
    }
    state = State.OPEN;
    probeAt = now + minimumOpenNanos + backoff.waitNanos(openings);
    openings++;
  }
}
