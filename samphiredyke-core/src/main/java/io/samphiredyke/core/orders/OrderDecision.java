package io.samphiredyke.core.orders;

/** What is to be done for orders. */
public sealed interface OrderDecision {

  /**
   * Append a record to the orders stream.
   *
   * @param record the record
   */
  record Append(LeaseRecord record) implements OrderDecision {}

  /**
   * Append a snapshot to the orders stream.
   *
   * @param snapshot the snapshot
   */
  record AppendSnapshot(LeaseSnapshot snapshot) implements OrderDecision {}

  /**
   * Read an engine's state back.
   *
   * @param endpoint the name of the endpoint
   * @param attempt identifies the answer
   */
  record ReadState(String endpoint, long attempt) implements OrderDecision {}

  /**
   * Send an order at once.
   *
   * @param endpoint the name of the endpoint
   * @param attempt identifies the answer
   * @param order the order
   */
  record SendOrder(String endpoint, long attempt, EngineOrder order) implements OrderDecision {}
}
