package io.samphiredyke.core.broker;

/** Why a broker refused a claim. */
public enum RefusalReason {
  /** The answer is not expected before the deadline at this endpoint. */
  DEADLINE,
  /** The queue is full of claims of the same or a higher tier. */
  QUEUE_FULL,
  /** A claim of a higher tier took the place in the full queue. */
  DISPLACED,
  /** The endpoint is leaving and takes no new work. */
  LEAVING,
  /** The endpoint is not brokered here. */
  NOT_BROKER;

  /** Returns whether the refusal is caused by load and not by the state of the endpoint. */
  public boolean isCausedByLoad() {
    return this == DEADLINE || this == QUEUE_FULL || this == DISPLACED;
  }
}
