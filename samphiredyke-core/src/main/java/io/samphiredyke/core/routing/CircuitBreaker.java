package io.samphiredyke.core.routing;

/**
 * Circuit breaker for the attempts at an endpoint or peer.
 *
 * <p>Opens after a number of consecutive failures and lets one probe through after a backoff. A
 * successful probe closes it; a failed one opens it again with a longer backoff.
 */
public final class CircuitBreaker {

  /** States of a circuit breaker. */
  public enum State {
    /** Attempts are allowed. */
    CLOSED,
    /** No attempt is allowed. */
    OPEN,
    /** A probe is in progress. */
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
   * Creates a closed circuit breaker.
   *
   * @param failuresToOpen consecutive failures that open it
   * @param minimumOpenNanos shortest time for which it stays open
   * @param backoff time that is added to it
   */
  public CircuitBreaker(int failuresToOpen, long minimumOpenNanos, Backoff backoff) {
    this.failuresToOpen = failuresToOpen;
    this.minimumOpenNanos = minimumOpenNanos;
    this.backoff = backoff;
  }

  /** Returns the current state. */
  public State state() {
    return state;
  }

  /** Returns whether an attempt may be made now; the first one after the backoff is the probe. */
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

  /** Records a success. */
  public void succeeded() {
    state = State.CLOSED;
    failures = 0;
    openings = 0;
  }

  /** Records a failure. */
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
