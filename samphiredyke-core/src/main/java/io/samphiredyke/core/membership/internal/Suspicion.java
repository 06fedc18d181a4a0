package io.samphiredyke.core.membership.internal;

import java.util.HashSet;
import java.util.Set;

/**
 * Timer between suspicion and death, which independent accusers shorten.
 *
 * <p>The time falls from the maximum to the minimum with the logarithm of the number of further
 * accusers (Lifeguard).
 */
public final class Suspicion {

  private final long minNanos;
  private final long maxNanos;
  private final int expectedConfirmations;
  private final Set<Integer> suspectors = new HashSet<>();
  private long startedAt;
  private long deadlineCap = Long.MAX_VALUE;
  private boolean finalProbeSent;

  Suspicion(long min, long max, int expected, int accuser, long now) {
    this.minNanos = min;
    this.maxNanos = max;
    this.expectedConfirmations = expected;
    this.startedAt = now;
    suspectors.add(accuser);
  }

  /** Adds an accuser; returns whether it is a new one that still shortens the time. */
  boolean confirm(int accuser) {
    if (suspectors.size() > expectedConfirmations) {
      return false;
    }
    return suspectors.add(accuser);
  }

  /** Moves the timer by a time in which this process did not run. */
  void postpone(long nanos) {
    startedAt += nanos;
    deadlineCap = deadlineCap == Long.MAX_VALUE ? deadlineCap : deadlineCap + nanos;
  }

  /** Ends the time by a given moment. */
  void capDeadline(long moment) {
    deadlineCap = Math.min(deadlineCap, moment);
  }

  /** Whether the member was asked a last time. */
  boolean isFinalProbeSent() {
    return finalProbeSent;
  }

  /** Notes that the member was asked a last time. */
  void finalProbeSent() {
    finalProbeSent = true;
  }

  /** Time at which the member counts as dead unless it refutes. */
  public long deadline() {
    return Math.min(deadlineCap, uncappedDeadline());
  }

  private long uncappedDeadline() {
    int confirmations = suspectors.size() - 1;
    if (expectedConfirmations <= 0 || confirmations >= expectedConfirmations) {
      return startedAt + minNanos;
    }
    double share = Math.log(confirmations + 1.0) / Math.log(expectedConfirmations + 1.0);
    return startedAt + Math.max(minNanos, maxNanos - (long) ((maxNanos - minNanos) * share));
  }
}
