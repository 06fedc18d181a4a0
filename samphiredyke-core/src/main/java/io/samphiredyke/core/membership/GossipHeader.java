package io.samphiredyke.core.membership;

import io.samphiredyke.core.membership.internal.MessagePackSize;

/**
 * Header of a gossip message, which identifies its origin.
 *
 * @param address address of the origin
 * @param memberId {@link Member#shortId() short id} of the origin
 * @param generation generation of the origin
 * @param draining whether the origin is draining before a planned shutdown
 * @param configurationOffset configuration offset in force at the origin
 */
public record GossipHeader(
    String address, long memberId, long generation, boolean draining, long configurationOffset) {

  private static final int FIELDS = 5;

  /** Returns the header for messages from a member. */
  public static GossipHeader of(Member member) {
    return new GossipHeader(
        member.address(),
        member.shortId(),
        member.generation(),
        member.draining(),
        member.configurationOffset());
  }

  /** Returns the encoded size in bytes. */
  public int encodedSize() {
    return MessagePackSize.ofArray(FIELDS)
        + MessagePackSize.ofString(address)
        + MessagePackSize.ofLong(memberId)
        + MessagePackSize.ofLong(generation)
        + MessagePackSize.ONE_BYTE
        + MessagePackSize.ofLong(configurationOffset);
  }
}
