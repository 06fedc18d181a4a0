package io.samphiredyke.core.quarantine;

import java.util.concurrent.TimeUnit;

/**
 * When something that was found to crash endpoints is sent to one again.
 *
 * <p>The first trial comes soon, because the evidence may be wrong and sound requests are refused
 * until then. The number of trials is bounded, because each of them can crash an endpoint.
 */
public final class Trials {

  /** Strikes from which on there are no further trials; the first is the finding itself. */
  public static final int MAX_STRIKES = 3;

  /** Time until the first trial, in which the copies that are under way may end. */
  private static final long FIRST_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Time until a trial after one that ended with a crash. */
  private static final long NEXT_NANOS = TimeUnit.SECONDS.toNanos(30);

  private static final long NEVER_NANOS = TimeUnit.DAYS.toNanos(30);

  private Trials() {}

  /** Returns whether there is a trial after a number of strikes. */
  public static boolean hasNext(int strikes) {
    return strikes < MAX_STRIKES;
  }

  /** Returns the time from a strike to the next trial, 30 days if there is none. */
  public static long nanosUntilNext(int strikes) {
    if (!hasNext(strikes)) {
      return NEVER_NANOS;
    }
    return strikes > 1 ? NEXT_NANOS : FIRST_NANOS;
  }
}
