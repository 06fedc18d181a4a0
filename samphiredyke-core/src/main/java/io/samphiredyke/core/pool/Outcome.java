package io.samphiredyke.core.pool;

/** How a request left its place. */
public enum Outcome {
  /** The endpoint answered. */
  SERVED,
  /** The endpoint answered with an error of its own. */
  ERRORED,
  /** The endpoint broke off, stayed silent or could not be reached. */
  FAILED,
  /** The endpoint refused it because it was full. */
  FULL,
  /** The host gave it up for reasons of its own. */
  WITHDRAWN
}
