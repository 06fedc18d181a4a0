package io.samphiredyke.gateway.request;

import io.samphiredyke.core.pool.Work;
import io.samphiredyke.core.serving.Route;

/**
 * How long an endpoint may stay silent before a request that may run again goes to another one.
 *
 * <p>It answers endpoints that hang or have gone dark: nothing closes their connections, and a
 * caller would wait until its time is over.
 */
final class SilenceLimit {

  /** Objectives that the first event of a stream may take on top of its prompt. */
  private static final double OBJECTIVES_TO_FIRST_EVENT = 1.5;

  /** Prompt tokens that a slow, busy engine reads in a millisecond. */
  private static final int SLOW_TOKENS_PER_MILLI = 20;

  /** Longest pauses of an on-time stream after which it counts as hanging. */
  private static final int GAPS = 4;

  /** Shortest limit, milliseconds; shorter silences are usual on busy hosts. */
  private static final long MIN_MILLIS = 150;

  private SilenceLimit() {}

  /** Returns the limit before the first event or the answer, milliseconds. */
  static long beforeAnswer(Route route, Work work) {
    if (!route.kind().isStream()) {
      return Math.max(MIN_MILLIS, route.objectiveMillis());
    }
    double objective = route.objectiveMillis() * OBJECTIVES_TO_FIRST_EVENT;
    return Math.max(MIN_MILLIS, (long) objective + work.promptTokens() / SLOW_TOKENS_PER_MILLI);
  }

  /** Returns the limit between two pieces of an answer, milliseconds. */
  static long withinAnswer(Route route) {
    long gap = route.gapMillis() > 0 ? route.gapMillis() : route.objectiveMillis();
    return Math.max(MIN_MILLIS, GAPS * gap);
  }
}
