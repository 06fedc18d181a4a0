package io.samphiredyke.core.config;

import java.util.List;

/** What a {@link PublishAttempt} wants done next. */
public sealed interface PublishDecision {

  /** Append the record and report the answer, or that it was lost. */
  record Append() implements PublishDecision {}

  /**
   * Read the next page of the log and report it.
   *
   * @param pauseMillis how long to wait before, in milliseconds
   */
  record Read(long pauseMillis) implements PublishDecision {}

  /**
   * The record was read back and applied; it is in force and stays so.
   *
   * @param offset its log offset
   */
  record Accepted(long offset) implements PublishDecision {}

  /**
   * The record was read back and is rejected by every node.
   *
   * @param offset its log offset
   * @param findings why; empty if only its repetition was read
   */
  record Rejected(long offset, List<Finding> findings) implements PublishDecision {}

  /** The deadline passed before the record was read back; it may still take effect. */
  record Unknown() implements PublishDecision {}

  /** The deadline passed and no append was ever sent out whole; the record has no effect. */
  record NotSent() implements PublishDecision {}
}
