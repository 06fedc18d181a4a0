package io.samphiredyke.core.membership.internal;

import java.util.HashSet;
import java.util.Set;

/**
 * Suspicion timeout of a member, which further independent suspectors shorten.
 *
 * <p>The timeout decreases from the maximum to the minimum with the logarithm of the number of
 * further suspectors (Lifeguard).
 */
public final class Suspicion {

  private final long minNanos;
  private final long maxNanos;
  private final int expectedConfirmations;
  private final Set<Integer> suspectors = new HashSet<>();
  private long startedAt;
  private long deadlineCap = Long.MAX_VALUE;
  private boolean finalProbeSent;

  Suspicion(long minNanos, long maxNanos, int expectedConfirmations, int suspector, long now) {
    this.minNanos = minNanos;
    this.maxNanos = maxNanos;
    this.expectedConfirmations = expectedConfirmations;
    this.startedAt = now;
    suspectors.add(suspector);
  }

  /** Adds a suspector; returns whether it is new and still shortens the timeout. */
  boolean confirm(int suspector) {
    if (suspectors.size() > expectedConfirmations) {
      return false;
    }
    return suspectors.add(suspector);
  }

  /** Postpones the deadline by the duration of a pause of this process. */
  void postpone(long nanos) {
    startedAt += nanos;
    deadlineCap = deadlineCap == Long.MAX_VALUE ? deadlineCap : deadlineCap + nanos;
  }

  /** Limits the deadline to the given time. */
  void capDeadline(long cap) {
    deadlineCap = Math.min(deadlineCap, cap);
  }

  /** Returns whether the final probe was sent. */
  boolean isFinalProbeSent() {
    return finalProbeSent;
  }

  /** Records that the final probe was sent. */
  void finalProbeSent() {
    finalProbeSent = true;
  }

  /** Returns the time at which the member is declared dead unless it refutes the suspicion. */
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
