package io.samphiredyke.core.ownership;

import org.jspecify.annotations.Nullable;

/**
 * Reply of a register to a write or a read.
 *
 * @param status result of the operation
 * @param record content of the register after the operation, or null if there is none
 */
public record RegisterReply(Status status, @Nullable RegisterRecord record) {

  /** Result of an operation. */
  public enum Status {
    /** The writer holds the register and the operation is recorded. */
    ACCEPTED,
    /** Another writer holds the register. */
    HELD_BY_OTHER,
    /** The writer holds the register, but has already written something later. */
    STALE,
    /** Nothing is recorded for the request. */
    ABSENT,
    /** The register is full; nothing was recorded. */
    FULL,
    /** The ticket has expired here; nothing was recorded. */
    EXPIRED,
    /** The writer is not permitted to write to this register; nothing was recorded. */
    NOT_PERMITTED
  }
}
