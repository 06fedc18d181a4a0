package io.samphiredyke.core.ownership;

import org.jspecify.annotations.Nullable;

/**
 * What a member of the chain says about a request when another process asks it.
 *
 * @param status its state
 * @param endpoint the endpoint of an intent that it knows, for {@link Status#INTENDED}
 * @param attempt the attempt of that intent
 * @param reason why the request was closed, for {@link Status#CLOSED}
 */
public record ChainMemberReply(
    Status status, @Nullable String endpoint, int attempt, @Nullable String reason) {

  /** State of a member. */
  public enum Status {
    /** It has done nothing about the request. */
    NOT_HOLDING,
    /** It is working on the request or has its outcome: ask there. */
    HOLDS,
    /** It has no part in the request, but knows the endpoint of the holder's intent. */
    INTENDED,
    /** The request was not run and never will be. */
    CLOSED,
    /** It has yielded to the first successor for good. */
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
   * Returns what a process says that has only a register record.
   *
   * @param record the record, if any
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
