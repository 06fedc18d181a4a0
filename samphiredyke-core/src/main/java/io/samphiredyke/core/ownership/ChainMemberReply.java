package io.samphiredyke.core.ownership;

import org.jspecify.annotations.Nullable;

/**
 * Reply of a member of the chain to a query for the state of a request.
 *
 * @param status state of the member
 * @param endpoint the endpoint of an intent known to the member, for {@link Status#INTENDED}
 * @param attempt the attempt of that intent
 * @param reason why the request was closed, for {@link Status#CLOSED}
 */
public record ChainMemberReply(
    Status status, @Nullable String endpoint, int attempt, @Nullable String reason) {

  /** State of a member with respect to the request. */
  public enum Status {
    /** The member has not acted on the request. */
    NOT_HOLDING,
    /** The member works on the request or has its outcome; the caller must continue there. */
    HOLDS,
    /** The member does not own the request, but knows the endpoint of the holder's intent. */
    INTENDED,
    /** The request was not run and never will be. */
    CLOSED,
    /** The member has permanently yielded to the first successor. */
    GIVEN_UP
  }

  /**
   * Returns a reply without details.
   *
   * @param status the state
   */
  static ChainMemberReply of(Status status) {
    return new ChainMemberReply(status, null, 0, null);
  }

  /**
   * Returns the reply of a process that has at most a register record of the request.
   *
   * @param record the record, or null if there is none
   */
  public static ChainMemberReply ofRecord(@Nullable RegisterRecord record) {
    if (record == null || record.status() == RegisterRecord.Status.TAKEN) {
      return of(Status.NOT_HOLDING);
    }
    if (record.status() == RegisterRecord.Status.CLOSED) {
      return new ChainMemberReply(Status.CLOSED, null, record.attempt(), record.detail());
    }
    return new ChainMemberReply(Status.INTENDED, record.endpoint(), record.attempt(), null);
  }
}
