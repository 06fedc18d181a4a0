package io.samphiredyke.core.ownership;

import org.jspecify.annotations.Nullable;

/**
 * A write to the register of a request.
 *
 * <p>The attempt numbers of one writer only grow, over all registers to which it writes. A higher
 * attempt states that no former attempt of the writer was dispatched.
 */
public sealed interface RegisterOperation {

  /** Returns the attempt of the writer at which it sent this. */
  int attempt();

  /**
   * Claims the register without naming an endpoint yet.
   *
   * @param attempt the attempt of the writer
   */
  record Take(int attempt) implements RegisterOperation {}

  /**
   * Announces a dispatch, or replaces a former announcement that was not dispatched.
   *
   * @param attempt the attempt of the writer
   * @param endpoint the endpoint to which it will dispatch
   * @param bodyDigest digest of the body
   */
  record Intent(int attempt, String endpoint, @Nullable String bodyDigest)
      implements RegisterOperation {}

  /**
   * States that the writer has not dispatched the request and never will.
   *
   * @param attempt the attempt of the writer
   * @param reason why, as told to callers
   */
  record Close(int attempt, String reason) implements RegisterOperation {}

  /**
   * States that the endpoint has finished the request.
   *
   * @param attempt the attempt that was dispatched
   * @param detail how it ended
   */
  record Outcome(int attempt, String detail) implements RegisterOperation {}
}
