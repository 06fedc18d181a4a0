package io.samphiredyke.core.serving;

/** Kind of the requests of a route: whether they are streams and whether they may be retried. */
public enum RouteKind {
  /** A request that may run more than once. */
  IDEMPOTENT,
  /** A request that runs at most once for each request id. */
  NON_IDEMPOTENT,
  /** A stream of events that runs at most once. */
  STREAM,
  /** A stream of events that another endpoint can continue after the last delivered event. */
  RESUMABLE_STREAM;

  /** Returns whether another endpoint may run the request after one may have run it already. */
  public boolean isRetryable() {
    return this == IDEMPOTENT || this == RESUMABLE_STREAM;
  }

  /** Returns whether the response is a stream of events. */
  public boolean isStream() {
    return this == STREAM || this == RESUMABLE_STREAM;
  }
}
