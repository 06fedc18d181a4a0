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
 * Validates that the declared lengths in a MessagePack value do not exceed its size.
 *
 * <p>The parser allocates the declared length before it reads the data, so that an unchecked frame
 * of a few bytes could allocate gigabytes.
 */
final class MessagePackValidator {

  private MessagePackValidator() {}

  /**
   * Validates one value and all values that it contains.
   *
   * @throws CorruptedFrameException if a declared length exceeds the remaining bytes
   * @throws IOException if the bytes end before the value does
   */
  static void validate(ByteBuf bytes) throws IOException {
    byte[] all = ByteBufUtil.getBytes(bytes);
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(all)) {
      long remaining = 1;
      while (remaining > 0) {
        remaining += readValue(unpacker, all.length) - 1;
      }
    } catch (MessagePackException e) {
      throw new CorruptedFrameException("the frame is not valid MessagePack", e);
    }
  }

  /** Reads one value or container header and returns the number of values that it contains. */
  private static long readValue(MessageUnpacker unpacker, int size) throws IOException {
    MessageFormat format = unpacker.getNextFormat();
    return switch (format.getValueType()) {
      case ARRAY -> requireAvailable(unpacker, size, unpacker.unpackArrayHeader());
      case MAP -> requireAvailable(unpacker, size, 2L * unpacker.unpackMapHeader());
      case STRING -> skip(unpacker, size, unpacker.unpackRawStringHeader());
      case BINARY -> skip(unpacker, size, unpacker.unpackBinaryHeader());
      case EXTENSION -> skip(unpacker, size, unpacker.unpackExtensionTypeHeader().getLength());
      default -> {
        unpacker.skipValue();
        yield 0;
      }
    };
  }

  private static long requireAvailable(MessageUnpacker unpacker, int size, long length) {
    if (length < 0 || length > size - unpacker.getTotalReadBytes()) {
      throw new CorruptedFrameException(
          "the frame declares a length of " + length + ", which exceeds its remaining bytes");
    }
    return length;
  }

  private static long skip(MessageUnpacker unpacker, int size, int length) throws IOException {
    requireAvailable(unpacker, size, length);
    unpacker.readPayload(length);
    return 0;
  }
}
