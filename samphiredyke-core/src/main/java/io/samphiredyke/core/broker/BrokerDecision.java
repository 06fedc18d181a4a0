package io.samphiredyke.core.broker;

/** What a broker decided about one claim, to be sent to the entry that made it. */
public sealed interface BrokerDecision permits Grant, SlotRefusal {

  /** Returns the claim that was decided. */
  SlotRequest request();
}
