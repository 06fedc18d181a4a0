package io.samphiredyke.core.config;

import java.util.List;

/** Result of applying a record of the log; the same on every node. */
public sealed interface ApplyResult {

  /**
   * The record was applied.
   *
   * @param offset the log offset of the record
   * @param keys the changed items
   */
  record Applied(long offset, List<ItemKey> keys) implements ApplyResult {}

  /**
   * The record was rejected as a whole.
   *
   * @param offset the log offset of the record
   * @param findings why it was rejected
   */
  record Rejected(long offset, List<Finding> findings) implements ApplyResult {}

  /**
   * A record with the same id was read before; this one has no effect.
   *
   * @param offset the log offset of the repeated record
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
   * The offset is not the next one; the record was not applied.
   *
   * @param offset the log offset that was given
   * @param expectedOffset the offset of the next record to apply
   */
  record OutOfOrder(long offset, long expectedOffset) implements ApplyResult {}
}
