package io.samphiredyke.core.pool;

/** Receives the decisions of a {@link PoolScheduler}. */
public interface PoolListener {

  /** The request was granted a slot; its requester may send it to the endpoint. */
  void granted(SlotRequest request, String endpointId);

  /** The request was refused; the scheduler keeps no record of it. */
  void refused(SlotRequest request, SlotRefusal refusal);
}
