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

  private final long min;
  private final long max;
  private final int expected;
  private final Set<Integer> accusers = new HashSet<>();
  private long startedAt;
  private long latest = Long.MAX_VALUE;
  private boolean checked;

  Suspicion(long min, long max, int expected, int accuser, long now) {
    this.min = min;
    this.max = max;
    this.expected = expected;
    this.startedAt = now;
    accusers.add(accuser);
  }

  /** Adds an accuser; returns whether it is a new one that still shortens the time. */
  boolean confirm(int accuser) {
    if (accusers.size() > expected) {
      return false;
    }
    return accusers.add(accuser);
  }

  /** Moves the timer by a time in which this process did not run. */
  void postpone(long nanos) {
    startedAt += nanos;
    latest = latest == Long.MAX_VALUE ? latest : latest + nanos;
  }

  /** Ends the time by a given moment. */
  void endBy(long moment) {
    latest = Math.min(latest, moment);
  }

  /** Whether the member was asked a last time. */
  boolean isChecked() {
    return checked;
  }

  /** Notes that the member was asked a last time. */
  void checked() {
    checked = true;
  }

  /** Time at which the member counts as dead unless it refutes. */
  public long deadline() {
    return Math.min(latest, unhurriedDeadline());
  }

  private long unhurriedDeadline() {
    int confirmations = accusers.size() - 1;
    if (expected <= 0 || confirmations >= expected) {
      return startedAt + min;
    }
    double share = Math.log(confirmations + 1.0) / Math.log(expected + 1.0);
    return startedAt + Math.max(min, max - (long) ((max - min) * share));
  }
}
