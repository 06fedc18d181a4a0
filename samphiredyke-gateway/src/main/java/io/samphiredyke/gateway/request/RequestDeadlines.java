package io.samphiredyke.gateway.request;

import io.samphiredyke.core.serving.Route;

/** How long a caller waits, and until when a start still serves it. */
final class RequestDeadlines {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Time that a caller waits if it states none, milliseconds. */
  private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

  /** Callers leave a stream without an event after this time at least, milliseconds. */
  private static final long MIN_PATIENCE_MILLIS = 2_000;

  /** Objectives, and longest pauses, after which callers leave a stream without an event. */
  private static final int PATIENCE_OBJECTIVES = 4;

  private static final int PATIENCE_GAPS = 8;

  /** Share of its time that a plain request may wait for a place. */
  private static final double PLAIN_QUEUE_SHARE = 0.5;

  /** Share of its patience that a stream may wait for a place; the rest is for its prompt. */
  private static final double STREAM_QUEUE_SHARE = 0.6;

  private final long arrivalTime;
  private final long timeoutMillis;
  private final Route route;

  RequestDeadlines(Route route, long timeLeftMillis, long arrivedAt) {
    this.route = route;
    this.arrivalTime = arrivedAt;
    long stated = timeLeftMillis < 0 ? DEFAULT_TIMEOUT_MILLIS : timeLeftMillis;
    this.timeoutMillis =
        route.timeoutMillis() > 0 ? Math.min(stated, route.timeoutMillis()) : stated;
  }

  /** When the final answer is due. */
  long deadline() {
    return arrivalTime + timeoutMillis * NANOS_PER_MILLI;
  }

  /** When the first event, or the answer, is due to be on time. */
  long objectiveDeadline() {
    return arrivalTime + route.objectiveMillis() * NANOS_PER_MILLI;
  }

  /** Latest start at an endpoint that still serves the caller. */
  long startDeadline() {
    double millis = timeoutMillis * PLAIN_QUEUE_SHARE;
    if (route.kind().isStream()) {
      long gap =
          Math.max(
              MIN_PATIENCE_MILLIS,
              Math.max(
                  (long) PATIENCE_OBJECTIVES * route.objectiveMillis(),
                  (long) PATIENCE_GAPS * route.eventGapMillis()));
      millis = Math.min(timeoutMillis, gap) * STREAM_QUEUE_SHARE;
    }
    return arrivalTime + (long) (millis * NANOS_PER_MILLI);
  }
}
