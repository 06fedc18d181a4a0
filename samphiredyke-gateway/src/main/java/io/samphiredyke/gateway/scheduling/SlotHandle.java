package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.pool.Outcome;

/** A slot at an endpoint, held until it is released. */
public interface SlotHandle {

  /** Returns the endpoint's instance id. */
  String endpointId();

  /** Returns the peer address of the scheduler that granted the slot, for the log. */
  String grantedBy();

  /** Reports that the first part of the response has arrived. */
  void firstEventReceived();

  /** Releases the slot. */
  void release(Outcome outcome);
}
