package io.samphiredyke.core.broker;

/** Why a broker refused a slot request. */
public enum RefusalReason {
  /** The response is not expected before the deadline at this endpoint. */
  DEADLINE,
  /** The queue is full of requests of the same or higher tiers. */
  QUEUE_FULL,
  /** A request of a higher tier displaced this one from the full queue. */
  DISPLACED,
  /** The endpoint is draining and accepts no new requests. */
  LEAVING,
  /** This host is not the broker of the endpoint. */
  NOT_BROKER;

  /** Returns whether the refusal is caused by load, not by the state of endpoint or broker. */
  public boolean isCausedByLoad() {
    return this == DEADLINE || this == QUEUE_FULL || this == DISPLACED;
  }
}
