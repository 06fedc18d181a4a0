package io.samphiredyke.core.config;

import java.util.List;

/** The result of applying a record, the same on every node. */
public sealed interface ApplyResult {

  /**
   * The changes are in force.
   *
   * @param offset the log offset of the record
   * @param keys the changed items
   */
  record Applied(long offset, List<ItemKey> keys) implements ApplyResult {}

  /**
   * The record was refused as a whole.
   *
   * @param offset the log offset of the record
   * @param findings why it was refused
   */
  record Rejected(long offset, List<Finding> findings) implements ApplyResult {}

  /**
   * The record was seen before and has no further effect.
   *
   * @param offset the log offset of the repetition
   * @param first the outcome of the first occurrence
   */
  record Duplicate(long offset, RecordOutcome first) implements ApplyResult {}

  /**
   * The record carries no change, such as a chunk of a snapshot.
   *
   * @param offset the log offset of the record
   */
  record NoChange(long offset) implements ApplyResult {}

  /**
   * The offset is not the next one; nothing was done.
   *
   * @param offset the log offset that was given
   * @param expectedOffset the offset of the next record to apply
   */
  record OutOfOrder(long offset, long expectedOffset) implements ApplyResult {}
}
