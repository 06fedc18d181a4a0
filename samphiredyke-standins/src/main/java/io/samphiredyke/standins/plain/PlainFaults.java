package io.samphiredyke.standins.plain;

import io.samphiredyke.standins.server.FaultSwitches;

/**
 * The fault switches of a plain service; members missing from the JSON form are off.
 *
 * @param latencyFactor the factor by which the latency of calls is multiplied; 0 is read as 1
 * @param rejectStatus the HTTP status with which new calls are rejected before their effect; 0 for
 *     none
 * @param failStatus the HTTP status with which calls fail after their effect; 0 for none
 * @param loseAnswers the number of following calls that take effect but whose connection is closed
 *     without a response
 * @param hang whether calls take effect but never receive a response
 * @param leaving whether the service is draining; it still accepts calls and counts their effects
 *     separately
 * @param silenceOpenConnections whether nothing more is sent on the connections that are open now
 */
public record PlainFaults(
    double latencyFactor,
    int rejectStatus,
    int failStatus,
    int loseAnswers,
    boolean hang,
    boolean leaving,
    boolean silenceOpenConnections)
    implements FaultSwitches {

  /** Switches of a fault-free service. */
  public static final PlainFaults NONE = new PlainFaults(1, 0, 0, 0, false, false, false);

  /** Replaces a latency factor of 0 by 1. */
  public PlainFaults {
    latencyFactor = latencyFactor == 0 ? 1 : latencyFactor;
  }
}
