package io.samphiredyke.core.membership;

import io.samphiredyke.core.membership.internal.MessagePackSize;

/**
 * Names the origin of a message.
 *
 * @param address address of the origin
 * @param memberId {@link Member#shortId() short id} of the origin
 * @param generation generation of the origin
 * @param draining whether the origin prepares a planned stop
 * @param configurationOffset configuration offset in force at the origin
 */
public record GossipHeader(
    String address, long memberId, long generation, boolean draining, long configurationOffset) {

  private static final int FIELDS = 5;

  /** Returns the header of messages from a member. */
  public static GossipHeader of(Member member) {
    return new GossipHeader(
        member.address(),
        member.shortId(),
        member.generation(),
        member.draining(),
        member.configurationOffset());
  }

  /** Size of the encoded form, bytes. */
  public int encodedSize() {
    return MessagePackSize.ofArray(FIELDS)
        + MessagePackSize.ofString(address)
        + MessagePackSize.ofLong(memberId)
        + MessagePackSize.ofLong(generation)
        + MessagePackSize.SMALL
        + MessagePackSize.ofLong(configurationOffset);
  }
}
