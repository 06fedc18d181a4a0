package io.samphiredyke.gateway.request;

import io.samphiredyke.core.pool.WorkEstimate;
import io.samphiredyke.core.serving.Route;

/**
 * How long an endpoint may stay silent before a request that may run again goes to another one.
 *
 * <p>It answers endpoints that hang or have gone dark: nothing closes their connections, and a
 * caller would wait until its time is over.
 */
final class InactivityTimeout {

  /**
   * Objectives that the first event of a stream may take on top of its prompt. Callers leave after
   * as many; earlier, a late start would be thrown away, and under load there is no other place.
   */
  private static final int OBJECTIVES_TO_FIRST_EVENT = 4;

  /** Objectives that a plain answer may take; callers wait for four or more. */
  private static final int OBJECTIVES_TO_ANSWER = 2;

  /** Prompt tokens that a slow, busy engine reads in a millisecond. */
  private static final int SLOW_TOKENS_PER_MILLI = 20;

  /** Longest pauses of an on-time stream after which it counts as hanging. */
  private static final int GAPS = 4;

  /** Shortest limit, milliseconds; shorter silences are usual on busy hosts. */
  private static final long MIN_MILLIS = 150;

  private InactivityTimeout() {}

  /** Returns the limit before the first event or the answer, milliseconds. */
  static long beforeAnswer(Route route, WorkEstimate work) {
    if (!route.kind().isStream()) {
      return Math.max(MIN_MILLIS, (long) OBJECTIVES_TO_ANSWER * route.objectiveMillis());
    }
    long objectives = (long) OBJECTIVES_TO_FIRST_EVENT * route.objectiveMillis();
    return Math.max(MIN_MILLIS, objectives + work.promptTokens() / SLOW_TOKENS_PER_MILLI);
  }

  /** Returns the limit between two pieces of an answer, milliseconds. */
  static long withinAnswer(Route route) {
    long gap = route.eventGapMillis() > 0 ? route.eventGapMillis() : route.objectiveMillis();
    return Math.max(MIN_MILLIS, GAPS * gap);
  }
}
