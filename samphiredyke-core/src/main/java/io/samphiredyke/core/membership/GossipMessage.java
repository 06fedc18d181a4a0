package io.samphiredyke.core.membership;

import io.samphiredyke.core.membership.internal.MessagePackSize;
import java.util.List;

/**
 * Message between the memberships of two processes.
 *
 * <p>The encoded form is a MessagePack array of the type's number and the record's components in
 * their order. A receiver ignores elements after those that it knows.
 */
public sealed interface GossipMessage {

  /** Origin of the message. */
  GossipHeader header();

  /** Updates that travel on the message. */
  GossipUpdates updates();

  /** Size of the encoded form, bytes. */
  int encodedSize();

  /**
   * Asks the receiver for an {@link Ack}.
   *
   * @param header origin
   * @param sequence number that the answer repeats
   * @param updates updates that travel along
   */
  record Ping(GossipHeader header, long sequence, GossipUpdates updates) implements GossipMessage {

    @Override
    public int encodedSize() {
      return sizeOf(3, this) + MessagePackSize.ofLong(sequence);
    }
  }

  /**
   * Answers a {@link Ping}; a helper passes it on with the sequence of the {@link PingRequest}.
   *
   * @param header the probed member, also if a helper passes the answer on
   * @param sequence number of the ping or ping request
   * @param updates updates that travel along
   */
  record Ack(GossipHeader header, long sequence, GossipUpdates updates) implements GossipMessage {

    @Override
    public int encodedSize() {
      return sizeOf(3, this) + MessagePackSize.ofLong(sequence);
    }
  }

  /**
   * Tells that a helper is itself in order but had no answer from the target in time.
   *
   * @param header the helper
   * @param sequence number of the ping request
   */
  record Nack(GossipHeader header, long sequence) implements GossipMessage {

    @Override
    public GossipUpdates updates() {
      return GossipUpdates.NONE;
    }

    @Override
    public int encodedSize() {
      return 1 + MessagePackSize.SMALL + header.encodedSize() + MessagePackSize.ofLong(sequence);
    }
  }

  /**
   * Asks a helper to probe a target on behalf of the origin.
   *
   * @param header origin
   * @param sequence number that the answer repeats
   * @param target address of the target
   * @param targetId short id of the target
   * @param updates updates that travel along
   */
  record PingRequest(
      GossipHeader header, long sequence, String target, long targetId, GossipUpdates updates)
      implements GossipMessage {

    @Override
    public int encodedSize() {
      return sizeOf(5, this)
          + MessagePackSize.ofLong(sequence)
          + MessagePackSize.ofString(target)
          + MessagePackSize.ofLong(targetId);
    }
  }

  /**
   * Introduces the origin and compares views.
   *
   * @param header origin
   * @param self the origin as a member
   * @param joining whether the origin knows no live member and wants the whole view
   * @param digests digests of the origin's view by bucket
   * @param updates updates that travel along
   */
  record SyncRequest(
      GossipHeader header,
      Member self,
      boolean joining,
      List<Integer> digests,
      GossipUpdates updates)
      implements GossipMessage {

    /** Copies the list. */
    public SyncRequest {
      digests = List.copyOf(digests);
    }

    @Override
    public int encodedSize() {
      int size =
          sizeOf(5, this)
              + self.encodedSize()
              + MessagePackSize.SMALL
              + MessagePackSize.ofArray(digests.size());
      for (int digest : digests) {
        size += MessagePackSize.ofLong(digest);
      }
      return size;
    }
  }

  /**
   * Carries the live members of buckets that differ.
   *
   * @param header origin
   * @param buckets bit set of the buckets that the message covers completely
   * @param purpose what the message is for
   * @param updates the members
   */
  record SyncReply(GossipHeader header, int buckets, Purpose purpose, GossipUpdates updates)
      implements GossipMessage {

    /** What a {@link SyncReply} is for. */
    public enum Purpose {
      /** Gives a joining member the view, which others know already. */
      VIEW,
      /** Answers a comparison; wants what the origin lacks. */
      DIFFERENCE,
      /** Answers a difference; wants no answer. */
      RETURN
    }

    @Override
    public int encodedSize() {
      return sizeOf(4, this) + MessagePackSize.ofLong(buckets) + MessagePackSize.SMALL;
    }
  }

  private static int sizeOf(int fields, GossipMessage message) {
    return MessagePackSize.ofArray(fields + 1)
        + MessagePackSize.SMALL
        + message.header().encodedSize()
        + message.updates().encodedSize();
  }
}
