package io.samphiredyke.core.ownership;

/** How far a process has got with one request. */
public enum OwnershipPhase {
  /** Nothing is under way here. */
  IDLE,
  /** The process may own the request and waits for a grant. */
  OWNING,
  /** An intent has been sent to a register and is not acknowledged. */
  INTENT_PENDING,
  /** The request has been dispatched to an endpoint. */
  DISPATCHED,
  /** The process has decided never to dispatch, and does not yet know that it owns the request. */
  CLOSING,
  /** The process owns the request and never dispatches it. */
  CLOSED,
  /** The owner has yielded to the first successor for good. */
  TAKEN_AWAY,
  /** Another member of the chain has been asked for its state. */
  ASKING,
  /** The first successor writes itself to the registers. */
  TAKING_OVER,
  /** A register is being read. */
  CONSULTING,
  /** The answer is being resumed from the endpoint that an intent names. */
  RECOVERING,
  /** The endpoint has finished the request. */
  FINISHED,
  /** The request was dispatched and its answer cannot be had now. */
  UNKNOWN
}
