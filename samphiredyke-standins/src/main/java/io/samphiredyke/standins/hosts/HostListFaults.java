package io.samphiredyke.standins.hosts;

import io.samphiredyke.standins.server.FaultSwitches;

/**
 * The fault switches of the host list; members missing from the JSON form are off.
 *
 * @param unavailable whether requests for the list receive status 503
 * @param hang whether requests for the list never receive a response
 * @param lagMillis the publication lag of changes made from now on; 0 for the configured lag
 * @param silenceOpenConnections whether nothing more is sent on the connections that are open now
 */
public record HostListFaults(
    boolean unavailable, boolean hang, long lagMillis, boolean silenceOpenConnections)
    implements FaultSwitches {

  /** Switches of a fault-free list. */
  public static final HostListFaults NONE = new HostListFaults(false, false, 0, false);
}
