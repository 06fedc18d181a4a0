package io.samphiredyke.net.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.samphiredyke.schema.message.PeerMessage;
import java.io.IOException;
import java.util.Optional;

/** Converts messages to the bytes that links carry, and back, for measurements. */
public final class PeerMessageCodec {

  private PeerMessageCodec() {}

  /**
   * Returns the whole frame of a message, without the length in front of it.
   *
   * @throws IOException if the message can't be written
   */
  public static byte[] encode(PeerMessage message) throws IOException {
    ByteBuf buffer = Unpooled.buffer();
    PeerCodec.encode(buffer, new PeerFrame(PeerFrame.ONE_WAY, message));
    return ByteBufUtil.getBytes(buffer);
  }

  /**
   * Returns the message of a frame, empty if its type is not known.
   *
   * @throws IOException if the frame is malformed
   */
  public static Optional<PeerMessage> decode(byte[] frame) throws IOException {
    return PeerCodec.decode(Unpooled.wrappedBuffer(frame)).map(PeerFrame::message);
  }
}
