package io.samphiredyke.net.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.samphiredyke.schema.message.PeerMessage;
import java.io.IOException;
import java.util.Optional;

/** Encodes and decodes complete frames of peer messages, for benchmarks. */
public final class PeerMessageCodec {

  private PeerMessageCodec() {}

  /**
   * Returns the frame of a message, without the length prefix.
   *
   * @throws IOException if the message cannot be serialized
   */
  public static byte[] encode(PeerMessage message) throws IOException {
    ByteBuf buffer = Unpooled.buffer();
    PeerFrameCodec.encode(buffer, new PeerFrame(PeerFrame.ONE_WAY, message));
    return ByteBufUtil.getBytes(buffer);
  }

  /**
   * Returns the message of a frame, or an empty value if its type is unknown.
   *
   * @throws IOException if the frame is malformed
   */
  public static Optional<PeerMessage> decode(byte[] frame) throws IOException {
    return PeerFrameCodec.decode(Unpooled.wrappedBuffer(frame)).map(PeerFrame::message);
  }
}
