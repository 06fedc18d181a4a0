package io.samphiredyke.standins.hosts;

import io.samphiredyke.standins.server.FaultSwitches;

/**
 * The fault switches of the host list; members left out of the JSON form are off.
 *
 * @param unavailable the list is answered 503
 * @param hang the list is never answered
 * @param lagMillis another lag for changes that are made from now on; 0 for the configured one
 * @param silenceOpenConnections all connections that are open now go silent for good
 */
public record HostListFaults(
    boolean unavailable, boolean hang, long lagMillis, boolean silenceOpenConnections)
    implements FaultSwitches {

  /** Switches of a list that works properly. */
  public static final HostListFaults NONE = new HostListFaults(false, false, 0, false);
}
