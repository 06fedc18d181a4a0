package io.samphiredyke.standins.server;

/** The fault switches of a stand-in. Unknown members of their JSON form are refused. */
public interface FaultSwitches {

  /**
   * Returns whether all connections that are open now go silent for good: nothing more is sent on
   * them, while new ones work. Acts once, when the switches are set.
   */
  boolean silenceOpenConnections();
}
