package io.samphiredyke.core.ownership;

import org.jspecify.annotations.Nullable;

/**
 * Write to the register of a request.
 *
 * <p>The attempt numbers of one writer only increase, across all registers it writes to. A higher
 * attempt number states that no earlier attempt of the writer was dispatched. The names of the
 * records and of their components are shown to operators in the request history.
 */
public sealed interface RegisterOperation {

  /** Returns the writer's attempt number at the time of the write. */
  int attempt();

  /**
   * Takes the register without naming an endpoint yet.
   *
   * @param attempt the attempt of the writer
   */
  record Take(int attempt) implements RegisterOperation {}

  /**
   * Announces a dispatch, or replaces an earlier intent that was not dispatched.
   *
   * @param attempt the attempt of the writer
   * @param endpoint the endpoint of the dispatch
   * @param bodyDigest digest of the body
   */
  record Intent(int attempt, String endpoint, @Nullable String bodyDigest)
      implements RegisterOperation {}

  /**
   * States that the writer has not dispatched the request and never will.
   *
   * @param attempt the attempt of the writer
   * @param reason the reason as reported to callers
   */
  record Close(int attempt, String reason) implements RegisterOperation {}

  /**
   * States that the endpoint has finished the request.
   *
   * @param attempt the attempt that was dispatched
   * @param detail how the request ended
   */
  record Outcome(int attempt, String detail) implements RegisterOperation {}
}
