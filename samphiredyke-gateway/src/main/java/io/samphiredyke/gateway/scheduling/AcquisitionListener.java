package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.pool.SlotRefusal;

/** Receives the result of a slot acquisition. One of its methods is called, once. */
public interface AcquisitionListener {

  /** Called when a slot is granted, so that the request may be sent to its endpoint. */
  void granted(SlotHandle slot);

  /** Called when the slot request is refused. */
  void refused(SlotRefusal refusal);
}
