package io.samphiredyke.core.pool;

/** How a request that held a slot ended. */
public enum Outcome {
  /** The endpoint responded without an error. */
  SERVED,
  /** The endpoint responded with a server error. */
  ERRORED,
  /** The endpoint closed the connection early, timed out or could not be reached. */
  FAILED,
  /** The endpoint rejected the request because it was at capacity. */
  FULL,
  /** The host gave up the request for a reason that is not the endpoint's. */
  WITHDRAWN,
  /** The endpoint ended the connection before the response began, as it does when it crashes. */
  BROKEN_OFF
}
