package io.samphiredyke.soak;

/** Kinds of requests that the callers send. */
enum RequestKind {
  /** May be executed more than once. */
  SAFE("safe", false, true),
  /** May be executed at most once. */
  UNSAFE("unsafe", false, false),
  /** A stream that may be executed at most once. */
  STREAM("stream", true, false),
  /** A stream that another endpoint may continue. */
  RESUMABLE("resumable", true, true);

  private final String route;
  private final boolean isStream;
  private final boolean isRetryable;

  RequestKind(String route, boolean isStream, boolean isRetryable) {
    this.route = route;
    this.isStream = isStream;
    this.isRetryable = isRetryable;
  }

  String route() {
    return route;
  }

  boolean isStream() {
    return isStream;
  }

  boolean isRetryable() {
    return isRetryable;
  }

  /** Returns the service of the route. */
  String service() {
    return isStream ? "model" : "plain";
  }
}
