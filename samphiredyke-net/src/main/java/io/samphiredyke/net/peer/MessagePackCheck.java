package io.samphiredyke.net.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.CorruptedFrameException;
import java.io.IOException;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Checks that a MessagePack value claims no more bytes than it has.
 *
 * <p>A parser allocates what a length claims before it reads, so a frame of a few bytes could take
 * gigabytes.
 */
final class MessagePackCheck {

  private MessagePackCheck() {}

  /**
   * Checks one value.
   *
   * @throws CorruptedFrameException if a length is longer than the rest of the bytes
   * @throws IOException if the bytes end too early
   */
  static void check(ByteBuf bytes) throws IOException {
    byte[] all = ByteBufUtil.getBytes(bytes);
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(all)) {
      long values = 1;
      while (values > 0) {
        values += next(unpacker, all.length) - 1;
      }
    } catch (MessagePackException e) {
      throw new CorruptedFrameException("a frame is no valid MessagePack", e);
    }
  }

  /** Reads one value and returns how many values it holds. */
  private static long next(MessageUnpacker unpacker, int size) throws IOException {
    MessageFormat format = unpacker.getNextFormat();
    return switch (format.getValueType()) {
      case ARRAY -> requireRoom(unpacker, size, unpacker.unpackArrayHeader());
      case MAP -> requireRoom(unpacker, size, 2L * unpacker.unpackMapHeader());
      case STRING -> skip(unpacker, size, unpacker.unpackRawStringHeader());
      case BINARY -> skip(unpacker, size, unpacker.unpackBinaryHeader());
      case EXTENSION -> skip(unpacker, size, unpacker.unpackExtensionTypeHeader().getLength());
      default -> {
        unpacker.skipValue();
        yield 0;
      }
    };
  }

  private static long requireRoom(MessageUnpacker unpacker, int size, long length) {
    if (length < 0 || length > size - unpacker.getTotalReadBytes()) {
      throw new CorruptedFrameException("a frame claims " + length + " bytes that it has not");
    }
    return length;
  }

  private static long skip(MessageUnpacker unpacker, int size, int length) throws IOException {
    requireRoom(unpacker, size, length);
    unpacker.readPayload(length);
    return 0;
  }
}
