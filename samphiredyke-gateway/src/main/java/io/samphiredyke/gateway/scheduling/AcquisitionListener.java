package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.pool.SlotRefusal;

/** Learns where a request may be sent. Called once. */
public interface AcquisitionListener {

  /** The request may be sent to an endpoint. */
  void granted(SlotHandle place);

  /** The request gets no place. */
  void refused(SlotRefusal refusal);
}
