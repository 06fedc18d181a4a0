package io.samphiredyke.bench.load;

/** How a request ended, as its caller saw it. */
enum Outcome {
  /** The whole right answer, within the service's deadline and its time for the first token. */
  GOOD,
  /** The whole right answer, but late. */
  LATE,
  /** Told "not run". */
  REFUSED,
  /** It could not be told whether it ran. */
  UNKNOWN,
  /** It ran, but its answer could not be had. */
  FAILED,
  /** Told success with an answer that is not the whole answer to this request. */
  WRONG
}
