package io.samphiredyke.core.membership;

import io.samphiredyke.core.membership.internal.MessagePackSize;

/**
 * Compact update of a member's state, ignored by receivers that do not know the member.
 *
 * @param memberId {@link Member#shortId() short id} of the member
 * @param state new state
 * @param generation generation that the state belongs to
 * @param draining whether the member is draining before a planned shutdown
 * @param suspector lower 32 bits of the short id of the suspecting member, 0 if none
 */
public record StateUpdate(
    long memberId, MemberState state, long generation, boolean draining, int suspector) {

  private static final int FIELDS = 5;

  /**
   * Returns an update with the current state of a member.
   *
   * @param member the member
   * @param suspector lower 32 bits of the short id of the suspecting member, 0 if none
   */
  public static StateUpdate of(Member member, int suspector) {
    return new StateUpdate(
        member.shortId(), member.state(), member.generation(), member.draining(), suspector);
  }

  /** Returns the member after this update. */
  public Member applyTo(Member member) {
    return member.toBuilder().state(state).generation(generation).draining(draining).build();
  }

  /** Returns the encoded size in bytes. */
  public int encodedSize() {
    return MessagePackSize.ofArray(FIELDS)
        + MessagePackSize.ofLong(memberId)
        + MessagePackSize.ONE_BYTE
        + MessagePackSize.ofLong(generation)
        + MessagePackSize.ONE_BYTE
        + MessagePackSize.ofLong(suspector);
  }
}
