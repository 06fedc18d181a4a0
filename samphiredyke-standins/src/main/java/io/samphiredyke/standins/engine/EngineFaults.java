package io.samphiredyke.standins.engine;

import io.samphiredyke.standins.server.FaultSwitches;

/**
 * The fault switches of an engine; members missing from the JSON form are off.
 *
 * @param slowFactor the factor by which the duration of steps is multiplied; 0 is read as 1
 * @param silenceOpenConnections whether nothing more is sent on the connections that are open now
 * @param hang whether new requests are executed but never receive a response
 * @param cutAfterTokens the number of events after which each stream is aborted, while the
 *     execution continues and the stream can be resumed; 0 for never
 * @param rejectStatus the HTTP status with which new requests are rejected without execution; 0 for
 *     none
 * @param malformedAfterTokens the number of the event that is malformed in each stream; 0 for none
 * @param leaving whether the engine is draining; it still accepts requests and counts their
 *     executions separately
 * @param crash whether all executions, streams and cached blocks are lost now and the connections
 *     of readers are closed; evaluated once
 */
public record EngineFaults(
    double slowFactor,
    boolean silenceOpenConnections,
    boolean hang,
    int cutAfterTokens,
    int rejectStatus,
    int malformedAfterTokens,
    boolean leaving,
    boolean crash)
    implements FaultSwitches {

  /** Switches of a fault-free engine. */
  public static final EngineFaults NONE = new EngineFaults(1, false, false, 0, 0, 0, false, false);

  /** Replaces a slow factor of 0 by 1. */
  public EngineFaults {
    slowFactor = slowFactor == 0 ? 1 : slowFactor;
  }
}
