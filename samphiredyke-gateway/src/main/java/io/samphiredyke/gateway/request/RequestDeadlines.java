package io.samphiredyke.gateway.request;

import io.samphiredyke.core.serving.Route;

/** How long a caller waits, and until when a start still serves it. */
final class RequestDeadlines {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Time that a caller waits if it states none, milliseconds. */
  private static final long DEFAULT_TIME_LEFT_MILLIS = 30_000;

  /** Callers leave a stream without an event after this time at least, milliseconds. */
  private static final long MIN_GAP_PATIENCE_MILLIS = 2_000;

  /** Objectives, and longest pauses, after which callers leave a stream without an event. */
  private static final int OBJECTIVES_OF_PATIENCE = 4;

  private static final int GAPS_OF_PATIENCE = 8;

  /** Share of its time that a plain request may wait for a place. */
  private static final double PLAIN_WAIT_SHARE = 0.5;

  /** Share of its patience that a stream may wait for a place; the rest is for its prompt. */
  private static final double STREAM_WAIT_SHARE = 0.6;

  private final long arrivedAt;
  private final long totalMillis;
  private final Route route;

  RequestDeadlines(Route route, long timeLeftMillis, long arrivedAt) {
    this.route = route;
    this.arrivedAt = arrivedAt;
    long stated = timeLeftMillis < 0 ? DEFAULT_TIME_LEFT_MILLIS : timeLeftMillis;
    this.totalMillis = route.timeoutMillis() > 0 ? Math.min(stated, route.timeoutMillis()) : stated;
  }

  /** When the final answer is due. */
  long endsAt() {
    return arrivedAt + totalMillis * NANOS_PER_MILLI;
  }

  /** When the first event, or the answer, is due to be on time. */
  long dueAt() {
    return arrivedAt + route.objectiveMillis() * NANOS_PER_MILLI;
  }

  /** Latest start at an endpoint that still serves the caller. */
  long latestStart() {
    double millis = totalMillis * PLAIN_WAIT_SHARE;
    if (route.kind().isStream()) {
      long gap =
          Math.max(
              MIN_GAP_PATIENCE_MILLIS,
              Math.max(
                  (long) OBJECTIVES_OF_PATIENCE * route.objectiveMillis(),
                  (long) GAPS_OF_PATIENCE * route.eventGapMillis()));
      millis = Math.min(totalMillis, gap) * STREAM_WAIT_SHARE;
    }
    return arrivedAt + (long) (millis * NANOS_PER_MILLI);
  }
}
