package io.samphiredyke.standins.log;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.samphiredyke.standins.server.FaultSwitches;
import org.jspecify.annotations.Nullable;

/**
 * The fault switches of the log; members left out of the JSON form are off.
 *
 * @param outage how all requests fail; absent for none
 * @param loseAnswers so many of the next appends take effect, but the connection is cut
 * @param readDelayMillis how much later reads are answered
 * @param appendDelayMillis how much later appends are answered
 * @param appendsPerSecond another rate limit; 0 for the configured one
 * @param silenceOpenConnections all connections that are open now go silent for good
 */
public record LogFaults(
    @Nullable Outage outage,
    int loseAnswers,
    long readDelayMillis,
    long appendDelayMillis,
    double appendsPerSecond,
    boolean silenceOpenConnections)
    implements FaultSwitches {

  /** Switches of a log that works properly. */
  public static final LogFaults NONE = new LogFaults(null, 0, 0, 0, 0, false);

  /** How all requests fail. */
  public enum Outage {
    /** They are answered 503. */
    @JsonProperty("unavailable")
    UNAVAILABLE,
    /** Their connection is closed unanswered. */
    @JsonProperty("refuse")
    REFUSE,
    /** They are never answered. */
    @JsonProperty("hang")
    HANG
  }
}
