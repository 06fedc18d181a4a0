package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.pool.Outcome;

/** A place at an endpoint. It is held until it is released. */
public interface SlotHandle {

  /** Returns the endpoint's instance id. */
  String endpointId();

  /** Returns which host granted it, for the log. */
  String grantedBy();

  /** Notes the first event of a stream. */
  void started();

  /** Frees the place. */
  void release(Outcome outcome);
}
