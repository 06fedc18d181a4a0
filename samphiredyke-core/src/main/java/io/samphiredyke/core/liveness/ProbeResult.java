package io.samphiredyke.core.liveness;

/** How one probe of an endpoint ended. */
public enum ProbeResult {
  /** The endpoint sent at least a byte. */
  RESPONDED,
  /** Another process responded at the endpoint's address. */
  OTHER_INSTANCE,
  /** The endpoint's address refused the connection. */
  REFUSED,
  /** The connection ended without a byte. */
  CLOSED,
  /** There was no connection, for a reason that may lie with the path. */
  UNREACHED
}
