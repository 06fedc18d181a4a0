package io.samphiredyke.core.orders;

/** Action that the driver of an {@link OrderStateMachine} must carry out. */
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
   * Read the state of an engine.
   *
   * @param endpoint name of the endpoint
   * @param attempt identifies the response
   */
  record ReadState(String endpoint, long attempt) implements OrderDecision {}

  /**
   * Send an order immediately.
   *
   * @param endpoint name of the endpoint
   * @param attempt identifies the response
   * @param order the order
   */
  record SendOrder(String endpoint, long attempt, EngineOrder order) implements OrderDecision {}
}
