package io.samphiredyke.core.ownership;

/**
 * Phase of one request in one process.
 *
 * <p>The names of the constants are shown to operators in lower case.
 */
public enum OwnershipPhase {
  /** The process is not working on the request. */
  IDLE,
  /** The process may own the request and waits for a slot. */
  OWNING,
  /** An intent has been sent to a register and is not acknowledged yet. */
  INTENT_PENDING,
  /** The request has been dispatched to an endpoint. */
  DISPATCHED,
  /** The process has decided never to dispatch, but is not yet certain to own the request. */
  CLOSING,
  /** The process owns the request and will never dispatch it. */
  CLOSED,
  /** The owner has permanently yielded to the first successor. */
  TAKEN_AWAY,
  /** The state of another member of the chain is being queried. */
  ASKING,
  /** A take of the first successor, or a close of an owner that has yielded, is being written. */
  TAKING_OVER,
  /** A register is being read. */
  CONSULTING,
  /** The response is being resumed from the endpoint named in an intent. */
  RECOVERING,
  /** The endpoint has finished the request. */
  FINISHED,
  /** The request was dispatched and its response is currently unavailable. */
  UNKNOWN
}
