package io.samphiredyke.gateway.request;

import io.samphiredyke.core.serving.Route;
import java.time.Duration;

/** Deadlines of a request: of its response, of its latency objective and of its start. */
final class RequestDeadlines {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Timeout of a caller that does not state one. */
  private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

  /** Minimum time for which callers wait for the next event of a stream. */
  private static final long MIN_EVENT_WAIT_MILLIS = 2_000;

  /** Multiples of the objective and of the event gap after which callers abandon a stream. */
  private static final int EVENT_WAIT_OBJECTIVES = 4;

  private static final int EVENT_WAIT_GAPS = 8;

  /** Share of its timeout that a plain request may wait for a slot. */
  private static final double PLAIN_QUEUE_SHARE = 0.5;

  /**
   * Share of the caller's waiting time for which a stream may wait for a slot; prefill needs the
   * rest.
   */
  private static final double STREAM_QUEUE_SHARE = 0.6;

  private final long arrivedAt;
  private final long waitedMillis;
  private final long timeoutMillis;
  private final Route route;

  /**
   * Creates the deadlines of a request.
   *
   * @param remainingMillis time that the caller has left, milliseconds; negative if not stated
   * @param waitedMillis time since the caller's first attempt, milliseconds
   */
  RequestDeadlines(Route route, long remainingMillis, long waitedMillis, long arrivedAt) {
    this.route = route;
    this.arrivedAt = arrivedAt;
    this.waitedMillis = waitedMillis;
    long stated = remainingMillis < 0 ? DEFAULT_TIMEOUT_MILLIS : remainingMillis;
    this.timeoutMillis =
        route.timeoutMillis() > 0 ? Math.min(stated, route.timeoutMillis()) : stated;
  }

  /** Returns when the response must be complete. */
  long deadline() {
    return arrivedAt + timeoutMillis * NANOS_PER_MILLI;
  }

  /** Returns the time until the response must be complete, 0 if it is over. */
  Duration remaining(long now) {
    return Duration.ofNanos(Math.max(0, deadline() - now));
  }

  /**
   * Returns when the first event or the plain response is due to meet the objective, which counts
   * from the caller's first attempt.
   */
  long objectiveDeadline() {
    return arrivedAt + (route.objectiveMillis() - waitedMillis) * NANOS_PER_MILLI;
  }

  /** Returns the latest start at an endpoint that still serves the caller. */
  long startDeadline() {
    double millis = timeoutMillis * PLAIN_QUEUE_SHARE;
    if (route.kind().isStream()) {
      long eventWaitMillis =
          Math.max(
              MIN_EVENT_WAIT_MILLIS,
              Math.max(
                  (long) EVENT_WAIT_OBJECTIVES * route.objectiveMillis(),
                  (long) EVENT_WAIT_GAPS * route.eventGapMillis()));
      millis = Math.min(timeoutMillis, eventWaitMillis) * STREAM_QUEUE_SHARE;
    }
    return arrivedAt + (long) (millis * NANOS_PER_MILLI);
  }
}
