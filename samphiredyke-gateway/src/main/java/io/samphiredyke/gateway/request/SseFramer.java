package io.samphiredyke.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * Splits a stream of server-sent events into complete events, so that a stream that breaks off in
 * the middle of an event can be resumed after the last complete one.
 */
final class SseFramer {

  private static final byte LINE_FEED = '\n';
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private final ByteBuf pending = Unpooled.buffer(256);
  private long lastEventId = -1;
  private long firstEventId = -1;

  /** Adds bytes and returns all complete events so far; the caller owns the returned buffer. */
  ByteBuf add(ByteBuf bytes) {
    pending.writeBytes(bytes);
    int end = endOfCompleteEvents();
    if (end <= pending.readerIndex()) {
      return Unpooled.EMPTY_BUFFER;
    }
    ByteBuf completeEvents = Unpooled.buffer(end - pending.readerIndex());
    pending.readBytes(completeEvents);
    pending.discardReadBytes();
    return completeEvents;
  }

  /** Scans the complete lines and returns the index after the last empty one. */
  private int endOfCompleteEvents() {
    int end = pending.readerIndex();
    int lineStart = end;
    long id = -1;
    while (true) {
      int feed = pending.indexOf(lineStart, pending.writerIndex(), LINE_FEED);
      if (feed < 0) {
        return end;
      }
      int lineEnd = feed > lineStart && pending.getByte(feed - 1) == '\r' ? feed - 1 : feed;
      if (lineEnd == lineStart) {
        end = feed + 1;
        recordEventId(id);
        id = -1;
      } else if (isIdField(lineStart, lineEnd)) {
        id = parseNumber(lineStart + ID_FIELD.length, lineEnd);
      }
      lineStart = feed + 1;
    }
  }

  private void recordEventId(long id) {
    if (id >= 0) {
      firstEventId = firstEventId < 0 ? id : firstEventId;
      lastEventId = id;
    }
  }

  private boolean isIdField(int start, int end) {
    if (end - start < ID_FIELD.length) {
      return false;
    }
    for (int i = 0; i < ID_FIELD.length; i++) {
      if (pending.getByte(start + i) != ID_FIELD[i]) {
        return false;
      }
    }
    return true;
  }

  private long parseNumber(int start, int end) {
    long value = 0;
    boolean hasDigits = false;
    for (int i = start; i < end; i++) {
      byte digit = pending.getByte(i);
      if (digit == ' ') {
        continue;
      }
      if (digit < '0' || digit > '9') {
        return -1;
      }
      hasDigits = true;
      value = value * 10 + (digit - '0');
    }
    return hasDigits ? value : -1;
  }

  /** Returns the id of the last complete event, or -1. */
  long lastEventId() {
    return lastEventId;
  }

  /** Returns the id of the first complete event, or -1. */
  long firstEventId() {
    return firstEventId;
  }

  /** Returns whether the last event is still incomplete. */
  boolean hasPartialEvent() {
    return pending.isReadable();
  }
}
