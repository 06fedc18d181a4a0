package io.samphiredyke.gateway.request;

import io.netty.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

/**
 * Regular end of a stream whose only sign of completeness is the end of its connection. An endpoint
 * may close a connection early though its process lives, so an attempt to continue the stream shows
 * whether it was complete.
 */
final class UnconfirmedEnd {

  private final ResponseRelay relay;
  private final RequestOutcome outcome;
  private @Nullable EndpointAttempt endedAttempt;
  private @Nullable Future<?> limit;
  private long bytesAtEnd;

  UnconfirmedEnd(ResponseRelay relay, RequestOutcome outcome) {
    this.relay = relay;
    this.outcome = outcome;
  }

  /** Returns whether the end of an attempt has to be confirmed, if another one is permitted. */
  boolean isNeededFor(EndpointAttempt attempt) {
    return attempt.endsWithConnection()
        && relay.hasStarted()
        && relay.canResume()
        && pending() == null;
  }

  /** Begins to wait for an attempt that continues the stream, until a timer ends the wait. */
  void begin(EndpointAttempt attempt, Future<?> timer) {
    close();
    limit = timer;
    endedAttempt = attempt;
    bytesAtEnd = relay.receivedBytes();
  }

  /** Returns the attempt whose end no later byte refutes, null if there is none. */
  @Nullable EndpointAttempt pending() {
    return relay.receivedBytes() == bytesAtEnd ? endedAttempt : null;
  }

  /** Completes the stream if no later byte refutes its end; returns whether it did. */
  boolean complete() {
    EndpointAttempt last = pending();
    if (last == null) {
      return false;
    }
    outcome.completed(last);
    return true;
  }

  /** Ends the wait. */
  void close() {
    Future<?> running = limit;
    if (running != null) {
      running.cancel(false);
    }
  }
}
