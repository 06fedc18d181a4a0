package io.samphiredyke.core.pool;

/** Receives the decisions of a {@link PoolScheduler}. */
public interface PoolListener {

  /** A claim got a place; its owner may send the request to the endpoint. */
  void granted(SlotRequest claim, String endpointId);

  /** A claim was turned away and is forgotten. */
  void refused(SlotRequest claim, SlotRefusal refusal);
}
