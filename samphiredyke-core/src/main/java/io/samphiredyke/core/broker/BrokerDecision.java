package io.samphiredyke.core.broker;

/** Decision of a broker on a slot request, to be sent to its requester. */
public sealed interface BrokerDecision permits Grant, SlotRefusal {

  /** Returns the request that was granted or refused. */
  SlotRequest request();
}
