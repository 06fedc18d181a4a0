package io.samphiredyke.standins.weights;

import io.samphiredyke.standins.server.FaultSwitches;

/**
 * The fault switches of the weight store; members left out of the JSON form are off.
 *
 * @param unavailable downloads are answered 503
 * @param bytesPerSecond another rate of all downloads together; 0 for the configured one
 * @param cutAfterBytes each download is cut after so many bytes; 0 for never
 * @param silenceOpenConnections all connections that are open now go silent for good
 */
public record WeightFaults(
    boolean unavailable, long bytesPerSecond, long cutAfterBytes, boolean silenceOpenConnections)
    implements FaultSwitches {

  /** Switches of a store that works properly. */
  public static final WeightFaults NONE = new WeightFaults(false, 0, 0, false);
}
