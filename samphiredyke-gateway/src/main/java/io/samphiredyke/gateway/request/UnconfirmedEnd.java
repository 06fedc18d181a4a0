package io.samphiredyke.gateway.request;

import org.jspecify.annotations.Nullable;

/**
 * Regular end of a stream whose only sign of completeness is the end of its connection. A killed
 * endpoint closes its connections too, so an attempt to continue the stream shows whether it was
 * complete.
 */
final class UnconfirmedEnd {

  private final ResponseRelay relay;
  private @Nullable EndpointAttempt endedAttempt;
  private long progressAtEnd;

  UnconfirmedEnd(ResponseRelay relay) {
    this.relay = relay;
  }

  /** Returns whether the end of an attempt has to be confirmed, if another one is permitted. */
  boolean isNeededFor(EndpointAttempt attempt) {
    return attempt.endsWithConnection() && relay.canResume() && pending() == null;
  }

  /** Begins to wait for an attempt that continues the stream. */
  void begin(EndpointAttempt attempt) {
    endedAttempt = attempt;
    progressAtEnd = relay.progress();
  }

  /** Returns the attempt whose end is not refuted by a later event, null if there is none. */
  @Nullable EndpointAttempt pending() {
    return relay.progress() == progressAtEnd ? endedAttempt : null;
  }
}
