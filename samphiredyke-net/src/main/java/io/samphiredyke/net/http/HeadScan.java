package io.samphiredyke.net.http;

import io.netty.buffer.ByteBuf;

/**
 * Finds the end of a request head in bytes that arrive in pieces, without decoding its lines.
 *
 * <p>Each byte is inspected once, however small the pieces are.
 */
final class HeadScan {

  private static final byte SPACE = ' ';
  private static final byte TAB = '\t';
  private static final byte CR = '\r';
  private static final byte LF = '\n';

  private int scanned;
  private int lineLength;
  private byte last;

  /** Starts with the next head, at the reader index of the buffer. */
  void reset() {
    scanned = 0;
    lineLength = 0;
    last = 0;
  }

  /** Skips the blanks that may precede a head, so that they are not kept. */
  void skipBlanks(ByteBuf buffer) {
    while (scanned == 0 && buffer.isReadable() && isBlank(buffer.getByte(buffer.readerIndex()))) {
      buffer.skipBytes(1);
    }
  }

  private static boolean isBlank(byte value) {
    return value == SPACE || value == TAB || value == CR || value == LF;
  }

  /** Returns whether the buffer contains the empty line that ends the head. */
  boolean findEnd(ByteBuf buffer) {
    int start = buffer.readerIndex();
    int length = buffer.readableBytes();
    while (scanned < length) {
      byte value = buffer.getByte(start + scanned);
      scanned++;
      if (value == LF) {
        if (lineLength == 0 || lineLength == 1 && last == CR) {
          return true;
        }
        lineLength = 0;
      } else {
        lineLength++;
      }
      last = value;
    }
    return false;
  }

  /**
   * Replaces the line ends before continuation lines by spaces, as RFC 9112 permits, from the
   * second header line on. Decoding a line for each continuation copies the value so far.
   */
  void unfold(ByteBuf buffer) {
    int start = buffer.readerIndex();
    boolean isAfterRequestLine = true;
    for (int i = start; i + 1 < start + scanned; i++) {
      if (buffer.getByte(i) != LF) {
        continue;
      }
      byte next = buffer.getByte(i + 1);
      if (!isAfterRequestLine && (next == SPACE || next == TAB)) {
        buffer.setByte(i, SPACE);
        if (buffer.getByte(i - 1) == CR) {
          buffer.setByte(i - 1, SPACE);
        }
      }
      isAfterRequestLine = false;
    }
  }
}
