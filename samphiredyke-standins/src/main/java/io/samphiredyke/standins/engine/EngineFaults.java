package io.samphiredyke.standins.engine;

import io.samphiredyke.standins.server.FaultSwitches;

/**
 * The fault switches of an engine; members left out of the JSON form are off.
 *
 * @param slowFactor how many times as long each step takes; 0 stands for 1
 * @param silenceOpenConnections all connections that are open now go silent for good
 * @param hang new requests are executed, but never answered
 * @param cutAfterTokens each stream is cut after so many events while the engine goes on and the
 *     stream can be resumed; 0 for never
 * @param rejectStatus the HTTP status with which new requests are refused unexecuted; 0 for none
 * @param malformedAfterTokens each stream's event of that number is not valid; 0 for none
 * @param leaving the engine is about to leave; it still works, and counts new requests
 * @param crash all executions, streams and cached blocks are lost now and connections are cut; acts
 *     once
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

  /** Switches of an engine that works properly. */
  public static final EngineFaults NONE = new EngineFaults(1, false, false, 0, 0, 0, false, false);

  /** Replaces a slow factor of 0. */
  public EngineFaults {
    slowFactor = slowFactor == 0 ? 1 : slowFactor;
  }
}
