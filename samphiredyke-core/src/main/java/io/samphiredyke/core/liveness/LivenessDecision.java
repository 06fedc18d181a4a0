package io.samphiredyke.core.liveness;

import org.jspecify.annotations.Nullable;

/**
 * Decides from probes whether the process of an endpoint still runs, one probe after the other.
 *
 * <p>An endpoint drops idle connections, so that the failure of one proves nothing. It resets new
 * connections beyond its limit, and may close its listener before it ends; as long as others of its
 * connections live, so does its process. The connections of a killed process end within
 * milliseconds, but not at once, so that a failure is looked at once more after a pause.
 */
public final class LivenessDecision {

  /** Pause before the next probe on a new connection, in milliseconds. */
  static final long PAUSE_MILLIS = 100;

  /** Probes on new connections that the endpoint refused, after which its open ones decide. */
  static final int MAX_REFUSED = 2;

  /** Probes on new connections that ended without a byte, after which no further one is made. */
  static final int MAX_CLOSED = 5;

  /** Probes without a connection after which no further one is made. */
  static final int MAX_UNREACHED = 8;

  /**
   * What follows a probe.
   *
   * @param verdict the result, null if another probe on a new connection is to be made
   * @param delayMillis time until that probe
   */
  public record Step(@Nullable LivenessVerdict verdict, long delayMillis) {}

  private int refused;
  private int closed;
  private int unreached;

  /**
   * Decides what follows a probe.
   *
   * @param isNewConnection whether the connection was opened for the probe
   * @param hasOlderConnections whether connections live that were open before what is to be decided
   */
  public Step after(ProbeResult result, boolean isNewConnection, boolean hasOlderConnections) {
    if (result == ProbeResult.RESPONDED) {
      return decided(Liveness.ALIVE, "it responded");
    }
    if (result == ProbeResult.OTHER_INSTANCE) {
      return decided(Liveness.GONE, "another process responded");
    }
    if (!isNewConnection) {
      return new Step(null, 0);
    }
    return switch (result) {
      case REFUSED -> afterRefused(hasOlderConnections);
      case CLOSED -> afterClosed(hasOlderConnections);
      default -> afterUnreached();
    };
  }

  private Step afterRefused(boolean hasOlderConnections) {
    if (unreached > 0) {
      // The path may be lost, and what refuses may stand in it.
      return afterUnreached();
    }
    refused++;
    if (!hasOlderConnections) {
      return decided(Liveness.GONE, "connection refused");
    }
    return refused < MAX_REFUSED ? again() : decided(Liveness.ALIVE, "other connections are open");
  }

  private Step afterClosed(boolean hasOlderConnections) {
    closed++;
    if (closed < MAX_CLOSED) {
      return again();
    }
    return hasOlderConnections
        ? decided(Liveness.ALIVE, "other connections are open")
        : decided(Liveness.UNKNOWN, "connections closed without a byte");
  }

  private Step afterUnreached() {
    unreached++;
    return unreached < MAX_UNREACHED ? again() : decided(Liveness.UNKNOWN, "not reached");
  }

  private static Step again() {
    return new Step(null, PAUSE_MILLIS);
  }

  private static Step decided(Liveness liveness, String reason) {
    return new Step(new LivenessVerdict(liveness, reason), 0);
  }
}
