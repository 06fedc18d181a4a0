package io.samphiredyke.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * Cuts a stream of server-sent events into whole events, so that a stream that breaks off within an
 * event can be continued exactly after the last whole one.
 */
final class SseFramer {

  private static final byte LINE_FEED = '\n';
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private final ByteBuf pending = Unpooled.buffer(256);
  private long lastEvent = -1;
  private long firstEvent = -1;

  /** Adds bytes and returns all whole events that are there; the receiver owns the buffer. */
  ByteBuf add(ByteBuf bytes) {
    pending.writeBytes(bytes);
    int end = endOfWholeEvents();
    if (end <= pending.readerIndex()) {
      return Unpooled.EMPTY_BUFFER;
    }
    ByteBuf whole = Unpooled.buffer(end - pending.readerIndex());
    pending.readBytes(whole);
    pending.discardReadBytes();
    return whole;
  }

  /** Scans complete lines; returns the index behind the last empty line. */
  private int endOfWholeEvents() {
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
        note(id);
        id = -1;
      } else if (isId(lineStart, lineEnd)) {
        id = number(lineStart + ID_FIELD.length, lineEnd);
      }
      lineStart = feed + 1;
    }
  }

  private void note(long id) {
    if (id >= 0) {
      firstEvent = firstEvent < 0 ? id : firstEvent;
      lastEvent = id;
    }
  }

  private boolean isId(int start, int end) {
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

  private long number(int start, int end) {
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

  /** Returns the id of the last whole event, or -1. */
  long lastEvent() {
    return lastEvent;
  }

  /** Returns the id of the first whole event, or -1. */
  long firstEvent() {
    return firstEvent;
  }

  /** Returns whether an event has begun and not ended. */
  boolean isWithinEvent() {
    return pending.isReadable();
  }
}
