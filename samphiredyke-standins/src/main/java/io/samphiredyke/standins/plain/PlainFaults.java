package io.samphiredyke.standins.plain;

import io.samphiredyke.standins.server.FaultSwitches;

/**
 * The fault switches of a plain service; members left out of the JSON form are off.
 *
 * @param latencyFactor how many times as long each call takes; 0 stands for 1
 * @param rejectStatus the HTTP status with which new calls are refused without effect; 0 for none
 * @param failStatus the HTTP status with which calls are answered after their effect; 0 for none
 * @param loseAnswers so many of the next calls take effect, but the connection is cut
 * @param hang calls take effect, but are never answered
 * @param leaving the service is about to leave; it still works, and counts new effects
 * @param silenceOpenConnections all connections that are open now go silent for good
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

  /** Switches of a service that works properly. */
  public static final PlainFaults NONE = new PlainFaults(1, 0, 0, 0, false, false, false);

  /** Replaces a latency factor of 0. */
  public PlainFaults {
    latencyFactor = latencyFactor == 0 ? 1 : latencyFactor;
  }
}
