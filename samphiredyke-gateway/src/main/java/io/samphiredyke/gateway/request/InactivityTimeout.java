package io.samphiredyke.gateway.request;

import io.samphiredyke.core.pool.WorkEstimate;
import io.samphiredyke.core.serving.Route;

/**
 * Computes how long an endpoint may send nothing before a retryable request is sent to another
 * endpoint.
 *
 * <p>It detects endpoints that hang or have become unreachable. Their connections stay open, so
 * that without it the caller would wait until its own timeout. A sound endpoint may be silent for
 * about a second and go on with what it runs, so only a request that may run twice is repeated
 * sooner.
 */
final class InactivityTimeout {

  /**
   * Multiple of the objective that the first event of a stream may take in addition to the prefill
   * time. Callers abandon a stream after the same multiple. A shorter timeout would discard the
   * prefill work of a stream that is merely late, and under load no other slot is free.
   */
  private static final int OBJECTIVES_TO_FIRST_EVENT = 4;

  /** Multiple of the objective that a plain response may take; callers wait for four or more. */
  private static final int OBJECTIVES_TO_RESPONSE = 2;

  /** Prefill rate of a slow, busy engine, in tokens per millisecond. */
  private static final int SLOW_PREFILL_TOKENS_PER_MILLI = 20;

  /** Multiple of the longest on-time event gap after which a stream counts as hanging. */
  private static final int MAX_GAPS = 4;

  /** Minimum timeout; shorter pauses are common on busy hosts. */
  private static final long MIN_MILLIS = 150;

  /**
   * Longest silence of a sound endpoint, 1.5 s, with a reserve for busy hosts. It adds to the time
   * that an event takes without it. Callers wait at least 2 s for an event.
   */
  private static final long MAX_SILENCE_MILLIS = 1_750;

  private InactivityTimeout() {}

  /** Returns the timeout before the first event or the plain response, in milliseconds. */
  static long beforeFirstEvent(Route route, WorkEstimate estimate) {
    if (!route.kind().isStream()) {
      return Math.max(MIN_MILLIS, (long) OBJECTIVES_TO_RESPONSE * route.objectiveMillis());
    }
    long objectives = (long) OBJECTIVES_TO_FIRST_EVENT * route.objectiveMillis();
    return Math.max(
        MAX_SILENCE_MILLIS + route.objectiveMillis(),
        objectives + estimate.promptTokens() / SLOW_PREFILL_TOKENS_PER_MILLI);
  }

  /** Returns the timeout between two chunks of a response, in milliseconds. */
  static long betweenChunks(Route route) {
    return Math.max(MAX_SILENCE_MILLIS + gap(route), MAX_GAPS * gap(route));
  }

  /**
   * Returns how long an attempt to continue a stream that has ended regularly may take, in
   * milliseconds.
   */
  static long untilContinued(Route route) {
    return Math.max(MIN_MILLIS, MAX_GAPS * gap(route));
  }

  /** Returns the longest gap between events that are on time. */
  private static long gap(Route route) {
    return route.eventGapMillis() > 0 ? route.eventGapMillis() : route.objectiveMillis();
  }
}
