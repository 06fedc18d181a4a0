package io.samphiredyke.standins.log;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.samphiredyke.standins.server.FaultSwitches;
import org.jspecify.annotations.Nullable;

/**
 * The fault switches of the log; members missing from the JSON form are off.
 *
 * @param outage the way in which all requests fail; absent for no outage
 * @param loseAnswers the number of following appends that take effect but whose connection is
 *     closed without a response
 * @param readDelayMillis the additional delay of responses to reads
 * @param appendDelayMillis the additional delay of responses to appends
 * @param appendsPerSecond the rate limit of appends; 0 for the configured limit
 * @param silenceOpenConnections whether nothing more is sent on the connections that are open now
 */
public record LogFaults(
    @Nullable Outage outage,
    int loseAnswers,
    long readDelayMillis,
    long appendDelayMillis,
    double appendsPerSecond,
    boolean silenceOpenConnections)
    implements FaultSwitches {

  /** Switches of a fault-free log. */
  public static final LogFaults NONE = new LogFaults(null, 0, 0, 0, 0, false);

  /** The ways in which all requests fail. */
  public enum Outage {
    /** They receive status 503. */
    @JsonProperty("unavailable")
    UNAVAILABLE,
    /** Their connection is closed without a response. */
    @JsonProperty("refuse")
    REFUSE,
    /** They never receive a response. */
    @JsonProperty("hang")
    HANG
  }
}
