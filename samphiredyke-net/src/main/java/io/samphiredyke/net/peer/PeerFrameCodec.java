package io.samphiredyke.net.peer;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.MessageToMessageCodec;
import io.samphiredyke.schema.message.MessageType;
import io.samphiredyke.schema.message.PeerMessage;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Optional;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Encodes and decodes {@link PeerFrame}s.
 *
 * <p>A frame consists of two big-endian numbers, the message type (16 bits) and the correlation id
 * (64 bits), followed by the message as a MessagePack map. Frames of unknown types are skipped, so
 * that hosts of different versions can communicate.
 */
final class PeerFrameCodec extends MessageToMessageCodec<ByteBuf, PeerFrame> {

  private static final ObjectMapper MAPPER =
      new MessagePackMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  @Override
  protected void encode(ChannelHandlerContext ctx, PeerFrame frame, List<Object> out)
      throws IOException {
    out.add(encode(ctx.alloc().buffer(), frame));
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf bytes, List<Object> out)
      throws IOException {
    decode(bytes).ifPresent(out::add);
  }

  static ByteBuf encode(ByteBuf buffer, PeerFrame frame) throws IOException {
    buffer.writeShort(frame.message().messageType().number());
    buffer.writeLong(frame.correlationId());
    buffer.writeBytes(MAPPER.writeValueAsBytes(frame.message()));
    return buffer;
  }

  static Optional<PeerFrame> decode(ByteBuf bytes) throws IOException {
    if (bytes.readableBytes() < Short.BYTES + Long.BYTES) {
      throw new CorruptedFrameException("the frame is shorter than its header");
    }
    Optional<MessageType> type = MessageType.ofNumber(bytes.readUnsignedShort());
    long correlationId = bytes.readLong();
    if (type.isEmpty()) {
      return Optional.empty();
    }
    MessagePackValidator.validate(bytes.slice());
    Class<? extends PeerMessage> messageClass = type.get().messageClass();
    try (InputStream in = new ByteBufInputStream(bytes)) {
      PeerMessage message = MAPPER.readValue(in, messageClass);
      if (message == null) {
        throw new CorruptedFrameException("the frame contains no message");
      }
      return Optional.of(new PeerFrame(correlationId, message));
    }
  }

  /** Returns the encoded length of a message, in bytes. */
  static int encodedLength(PeerMessage message) throws IOException {
    return MAPPER.writeValueAsBytes(message).length;
  }
}
