package io.samphiredyke.gateway.request;

import io.netty.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

/**
 * Regular end of a stream whose only sign of completeness is the end of its connection. A killed
 * endpoint closes its connections too, so an attempt to continue the stream shows whether it was
 * complete.
 */
final class UnconfirmedEnd {

  private final ResponseRelay relay;
  private @Nullable EndpointAttempt endedAttempt;
  private @Nullable Future<?> limit;
  private long bytesAtEnd;

  UnconfirmedEnd(ResponseRelay relay) {
    this.relay = relay;
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

  /** Ends the wait. */
  void close() {
    Future<?> running = limit;
    if (running != null) {
      running.cancel(false);
    }
  }
}
