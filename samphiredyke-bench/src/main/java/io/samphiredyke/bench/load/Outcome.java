package io.samphiredyke.bench.load;

/** Outcome of a request from the caller's point of view. */
enum Outcome {
  /** Complete and correct response within the service's deadline and its first token target. */
  GOOD,
  /** Complete and correct response after the deadline or the first token target. */
  LATE,
  /** Reported to the caller as not executed. */
  REFUSED,
  /** Unknown whether the request was executed. */
  UNKNOWN,
  /** Executed, but without a usable response. */
  FAILED,
  /** Reported as success, but with a response that is incomplete or belongs to another request. */
  WRONG
}
