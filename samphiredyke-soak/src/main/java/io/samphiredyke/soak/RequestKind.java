package io.samphiredyke.soak;

/** Kinds of requests that callers send. */
enum RequestKind {
  /** May run again. */
  SAFE("safe", false, true),
  /** May run once. */
  UNSAFE("unsafe", false, false),
  /** A stream that may run once. */
  STREAM("stream", true, false),
  /** A stream that another endpoint may continue. */
  RESUMABLE("resumable", true, true);

  private final String route;
  private final boolean isStream;
  private final boolean mayRepeat;

  RequestKind(String route, boolean isStream, boolean mayRepeat) {
    this.route = route;
    this.isStream = isStream;
    this.mayRepeat = mayRepeat;
  }

  String route() {
    return route;
  }

  boolean isStream() {
    return isStream;
  }

  boolean mayRepeat() {
    return mayRepeat;
  }

  /** Returns the service that the route of this kind leads to. */
  String service() {
    return isStream ? "model" : "plain";
  }
}
