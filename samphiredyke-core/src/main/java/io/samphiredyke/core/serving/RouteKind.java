package io.samphiredyke.core.serving;

/** What may be repeated of a request. */
public enum RouteKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** Runs at most once for each request id. */
  NON_IDEMPOTENT,
  /** A stream of events that runs at most once. */
  STREAM,
  /** A stream of events that another endpoint can continue after the last event passed on. */
  RESUMABLE_STREAM;

  /** Returns whether a second endpoint may run the request after the first may have run it. */
  public boolean isRetryable() {
    return this == IDEMPOTENT || this == RESUMABLE_STREAM;
  }

  /** Returns whether the answer is a stream of events. */
  public boolean isStream() {
    return this == STREAM || this == RESUMABLE_STREAM;
  }
}
