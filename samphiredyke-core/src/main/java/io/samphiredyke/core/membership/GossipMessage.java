package io.samphiredyke.core.membership;

import io.samphiredyke.core.membership.internal.MessagePackSize;
import java.util.List;

/**
 * Message of the membership protocol between two processes.
 *
 * <p>It is encoded as a MessagePack array of the type number and the components of the record in
 * their declared order. Receivers ignore trailing elements that they do not know.
 */
public sealed interface GossipMessage {

  /** Returns the header, which identifies the origin. */
  GossipHeader header();

  /** Returns the piggybacked updates. */
  GossipUpdates updates();

  /** Returns the encoded size in bytes. */
  int encodedSize();

  /**
   * Requests an {@link Ack} from the receiver.
   *
   * @param header header of the origin
   * @param sequence sequence number, returned in the ack
   * @param updates piggybacked updates
   */
  record Ping(GossipHeader header, long sequence, GossipUpdates updates) implements GossipMessage {

    @Override
    public int encodedSize() {
      return sizeOf(3, this) + MessagePackSize.ofLong(sequence);
    }
  }

  /**
   * Acknowledges a {@link Ping}; a helper forwards it with the sequence number of the {@link
   * PingRequest}.
   *
   * @param header header of the probed member, even if a helper forwards the ack
   * @param sequence sequence number of the ping or ping request
   * @param updates piggybacked updates
   */
  record Ack(GossipHeader header, long sequence, GossipUpdates updates) implements GossipMessage {

    @Override
    public int encodedSize() {
      return sizeOf(3, this) + MessagePackSize.ofLong(sequence);
    }
  }

  /**
   * Reports that a helper received the ping request but no ack from the target in time.
   *
   * @param header header of the helper
   * @param sequence sequence number of the ping request
   */
  record Nack(GossipHeader header, long sequence) implements GossipMessage {

    @Override
    public GossipUpdates updates() {
      return GossipUpdates.NONE;
    }

    @Override
    public int encodedSize() {
      return 1 + MessagePackSize.ONE_BYTE + header.encodedSize() + MessagePackSize.ofLong(sequence);
    }
  }

  /**
   * Requests a helper to probe a target on behalf of the origin.
   *
   * @param header header of the origin
   * @param sequence sequence number, returned in the ack or nack
   * @param target address of the target
   * @param targetId short id of the target
   * @param updates piggybacked updates
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
   * Introduces the origin and starts an anti-entropy comparison of views.
   *
   * @param header header of the origin
   * @param self the origin as a member
   * @param joining whether the origin knows no live member and requests the whole view
   * @param digests digests of the origin's view by bucket
   * @param updates piggybacked updates
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
              + MessagePackSize.ONE_BYTE
              + MessagePackSize.ofArray(digests.size());
      for (int digest : digests) {
        size += MessagePackSize.ofLong(digest);
      }
      return size;
    }
  }

  /**
   * Transfers the live members of buckets that differ.
   *
   * @param header header of the origin
   * @param buckets bit set of the buckets that the message covers completely
   * @param purpose purpose of the message
   * @param updates the members
   */
  record SyncReply(GossipHeader header, int buckets, Purpose purpose, GossipUpdates updates)
      implements GossipMessage {

    /** Purpose of a {@link SyncReply}. */
    public enum Purpose {
      /** Transfers the view, which the other members already know, to a joining member. */
      VIEW,
      /** Replies to a comparison and requests the members that the origin lacks. */
      DIFFERENCE,
      /** Replies to {@link #DIFFERENCE}; requires no reply. */
      RETURN
    }

    @Override
    public int encodedSize() {
      return sizeOf(4, this) + MessagePackSize.ofLong(buckets) + MessagePackSize.ONE_BYTE;
    }
  }

  private static int sizeOf(int fields, GossipMessage message) {
    return MessagePackSize.ofArray(fields + 1)
        + MessagePackSize.ONE_BYTE
        + message.header().encodedSize()
        + message.updates().encodedSize();
  }
}
