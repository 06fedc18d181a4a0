package io.samphiredyke.core.membership;

import io.samphiredyke.core.membership.internal.MessagePackSize;

/**
 * Compact update of a member's state; means nothing to a receiver that does not know the member.
 *
 * @param memberId {@link Member#shortId() short id} of the member
 * @param state new state
 * @param generation generation that the state belongs to
 * @param draining whether the member prepares a planned stop
 * @param suspector short form of the member that suspects it, 0 if nobody does
 */
public record StateUpdate(
    long memberId, MemberState state, long generation, boolean draining, int suspector) {

  private static final int FIELDS = 5;

  /**
   * Describes the state of a member.
   *
   * @param member the member
   * @param accuser short form of the member that suspects it, 0 if nobody does
   */
  public static StateUpdate of(Member member, int accuser) {
    return new StateUpdate(
        member.shortId(), member.state(), member.generation(), member.draining(), accuser);
  }

  /** Returns the member after this update. */
  public Member applyTo(Member member) {
    return member.toBuilder().state(state).generation(generation).draining(draining).build();
  }

  /** Size of the encoded form, bytes. */
  public int encodedSize() {
    return MessagePackSize.ofArray(FIELDS)
        + MessagePackSize.ofLong(memberId)
        + MessagePackSize.SMALL
        + MessagePackSize.ofLong(generation)
        + MessagePackSize.SMALL
        + MessagePackSize.ofLong(suspector);
  }
}
