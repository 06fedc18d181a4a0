package io.samphiredyke.core.config;

import java.util.List;

/** Next action, or final outcome, of a {@link PublishAttempt}. */
public sealed interface PublishDecision {

  /** Append the record and report the response, or its loss. */
  record Append() implements PublishDecision {}

  /**
   * Read the next page of the log and report the result.
   *
   * @param pauseMillis how long to wait before reading, in milliseconds
   */
  record Read(long pauseMillis) implements PublishDecision {}

  /**
   * The record was read back and applied; this is final.
   *
   * @param offset its log offset
   */
  record Accepted(long offset) implements PublishDecision {}

  /**
   * The record was read back and rejected; every node rejects it.
   *
   * @param offset its log offset
   * @param findings why it was rejected; empty if only a duplicate of it was read
   */
  record Rejected(long offset, List<Finding> findings) implements PublishDecision {}

  /** The deadline passed before the record was read back; it may still take effect. */
  record Unknown() implements PublishDecision {}

  /** The deadline passed before an append was sent completely; the record has no effect. */
  record NotSent() implements PublishDecision {}
}
