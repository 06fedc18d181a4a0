package io.samphiredyke.core.ownership;

import org.jspecify.annotations.Nullable;

/**
 * The answer of a register.
 *
 * @param status what became of the operation
 * @param record what the register holds now, if anything
 */
public record RegisterReply(Status status, @Nullable RegisterRecord record) {

  /** What became of an operation. */
  public enum Status {
    /** The writer holds the register and the operation is recorded. */
    ACCEPTED,
    /** Another writer holds the register. */
    HELD_BY_OTHER,
    /** The writer holds the register, but has since written something later. */
    STALE,
    /** Nothing is recorded for the request. */
    ABSENT,
    /** The register has no room; nothing was recorded. */
    FULL,
    /** The ticket has expired here; nothing was recorded. */
    EXPIRED,
    /** The writer may not write here; nothing was recorded. */
    NOT_PERMITTED
  }
}
