package io.samphiredyke.core.membership.internal;

import java.nio.charset.StandardCharsets;

/** Sizes of encoded MessagePack values in bytes. */
public final class MessagePackSize {

  /** Size of a boolean or of an integer from 0 to 127. */
  public static final int ONE_BYTE = 1;

  /** Size of an incarnation id, encoded as binary data of 16 bytes. */
  public static final int INCARNATION_ID = 18;

  private static final int SHORT_ARRAY = 16;
  private static final int SHORT_STRING = 32;
  private static final int BYTE_STRING = 256;

  private MessagePackSize() {}

  /** Returns the size of an array header. */
  public static int ofArray(int elements) {
    return elements < SHORT_ARRAY ? 1 : 3;
  }

  /** Returns the size of a string. */
  public static int ofString(String text) {
    int bytes = text.getBytes(StandardCharsets.UTF_8).length;
    if (bytes < SHORT_STRING) {
      return 1 + bytes;
    }
    return (bytes < BYTE_STRING ? 2 : 3) + bytes;
  }

  /** Returns the size of an integer in its shortest encoding. */
  public static int ofLong(long value) {
    if (value < 0) {
      return ofNegative(value);
    }
    if (value < 1L << 7) {
      return 1;
    }
    if (value < 1L << 8) {
      return 2;
    }
    if (value < 1L << 16) {
      return 3;
    }
    return value < 1L << 32 ? 5 : 9;
  }

  private static int ofNegative(long value) {
    if (value >= -32) {
      return 1;
    }
    if (value >= Byte.MIN_VALUE) {
      return 2;
    }
    if (value >= Short.MIN_VALUE) {
      return 3;
    }
    return value >= Integer.MIN_VALUE ? 5 : 9;
  }
}
