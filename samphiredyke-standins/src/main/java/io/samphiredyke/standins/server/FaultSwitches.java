package io.samphiredyke.standins.server;

/** Fault switches of a stand-in. Unknown members of their JSON form are rejected. */
public interface FaultSwitches {

  /**
   * Returns whether nothing more is sent on the connections that are open now; new connections work
   * normally. Evaluated once, when the switches are set.
   */
  boolean silenceOpenConnections();
}
