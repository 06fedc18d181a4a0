package io.samphiredyke.standins.weights;

import io.samphiredyke.standins.server.FaultSwitches;

/**
 * The fault switches of the weight store; members missing from the JSON form are off.
 *
 * @param unavailable whether downloads receive status 503
 * @param bytesPerSecond the total rate of all downloads; 0 for the configured rate
 * @param cutAfterBytes the number of bytes after which each download is aborted; 0 for never
 * @param silenceOpenConnections whether nothing more is sent on the connections that are open now
 */
public record WeightFaults(
    boolean unavailable, long bytesPerSecond, long cutAfterBytes, boolean silenceOpenConnections)
    implements FaultSwitches {

  /** Switches of a fault-free store. */
  public static final WeightFaults NONE = new WeightFaults(false, 0, 0, false);
}
