package io.samphiredyke.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.samphiredyke.core.stream.StreamEvent;
import io.samphiredyke.platform.Headers;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.jspecify.annotations.Nullable;

/**
 * Splits a stream of server-sent events into complete events, and keeps the bytes of those that
 * have not been taken.
 */
final class SseFramer {

  /** Largest event with the comments before it, in bytes. */
  static final int MAX_EVENT_BYTES = 64 * 1024;

  private static final byte LINE_FEED = '\n';
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DATA_FIELD = "data".getBytes(StandardCharsets.US_ASCII);

  /** Begins of comments and of fields that make no event by themselves. */
  private static final byte[][] SILENT_FIELDS = {
    ":".getBytes(StandardCharsets.US_ASCII),
    "event".getBytes(StandardCharsets.US_ASCII),
    "retry".getBytes(StandardCharsets.US_ASCII)
  };

  /**
   * Begins of lines in the head of a response. No event has such fields, so that a body with them
   * was cut off and goes on with another response.
   */
  private static final byte[][] HEAD_FIELDS = {
    "HTTP/1.".getBytes(StandardCharsets.US_ASCII),
    "connection:".getBytes(StandardCharsets.US_ASCII),
    "content-length:".getBytes(StandardCharsets.US_ASCII),
    "content-type:".getBytes(StandardCharsets.US_ASCII),
    "transfer-encoding:".getBytes(StandardCharsets.US_ASCII),
    Headers.PREFIX.toLowerCase(Locale.ROOT).getBytes(StandardCharsets.US_ASCII)
  };

  /** Begin of a status line, which a body that was cut off may go on with. */
  private static final byte[] PROTOCOL = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  /** Characters of a status line from its begin to the code, all of which are looked at. */
  private static final int STATUS_LENGTH = "HTTP/1.1 200".length();

  private static final byte[][] FIELDS = {
    ID_FIELD,
    "data:".getBytes(StandardCharsets.US_ASCII),
    "event:".getBytes(StandardCharsets.US_ASCII),
    "retry:".getBytes(StandardCharsets.US_ASCII)
  };

  /** Field with which an event may begin although heads have it as well. */
  private static final byte[] WEIGHT_VERSIONS =
      (Headers.WEIGHT_VERSIONS.toLowerCase(Locale.ROOT) + ":").getBytes(StandardCharsets.US_ASCII);

  private static final StreamEvent RESPONSE_HEAD = StreamEvent.of(StreamEvent.Kind.RESPONSE_HEAD);
  private static final StreamEvent NO_EVENT = StreamEvent.of(StreamEvent.Kind.NO_EVENT);
  private static final StreamEvent OVERSIZED = StreamEvent.of(StreamEvent.Kind.OVERSIZED);
  private static final StreamEvent COMMENT = StreamEvent.of(StreamEvent.Kind.COMMENT);
  private static final StreamEvent UNNUMBERED = StreamEvent.of(StreamEvent.Kind.UNNUMBERED);

  private final ByteBuf pending = Unpooled.buffer(256);
  private int acceptedEnd;
  private int eventEnd;
  private int lineStart;
  private int previousLineStart;
  private int scanned;
  private StreamEvent event = COMMENT;

  /** Adds received bytes. */
  void add(ByteBuf bytes) {
    pending.writeBytes(bytes);
  }

  /** Returns the next complete event, or null if there is none yet. */
  @Nullable StreamEvent next() {
    while (true) {
      int feed = pending.indexOf(scanned, pending.writerIndex(), LINE_FEED);
      if (feed < 0) {
        scanned = pending.writerIndex();
        return scanned - acceptedEnd > MAX_EVENT_BYTES ? OVERSIZED : null;
      }
      int lineEnd = feed > lineStart && pending.getByte(feed - 1) == '\r' ? feed - 1 : feed;
      boolean isEndOfEvent = lineEnd == lineStart;
      if (!isEndOfEvent) {
        readField(lineEnd);
      }
      previousLineStart = lineStart;
      lineStart = feed + 1;
      scanned = lineStart;
      if (isEndOfEvent) {
        return endEvent();
      }
    }
  }

  private StreamEvent endEvent() {
    StreamEvent complete = event;
    event = COMMENT;
    eventEnd = lineStart;
    return eventEnd - acceptedEnd > MAX_EVENT_BYTES ? OVERSIZED : complete;
  }

  private void readField(int lineEnd) {
    if (lineStart == eventEnd && isWeightVersion(lineEnd)) {
      return;
    }
    if (event.kind() == StreamEvent.Kind.RESPONSE_HEAD || isPartOfHead(lineEnd)) {
      event = RESPONSE_HEAD;
    } else if (startsWith(ID_FIELD, lineEnd, false)) {
      int valueStart = lineStart + ID_FIELD.length;
      event =
          StreamEvent.withId(
              pending.toString(valueStart, lineEnd - valueStart, StandardCharsets.US_ASCII));
    } else if (event.kind() == StreamEvent.Kind.COMMENT
        || event.kind() == StreamEvent.Kind.NO_EVENT) {
      event = withoutId(lineEnd);
    }
  }

  private boolean isPartOfHead(int lineEnd) {
    return startsWithAny(HEAD_FIELDS, lineEnd)
        || hasFieldBehindProtocol(lineEnd)
        || isHeaderBehindStatusLine(lineEnd);
  }

  /** Returns whether a line is the begin of a status line that goes on with a field of an event. */
  private boolean hasFieldBehindProtocol(int lineEnd) {
    int position = lineStart;
    while (position < lineEnd
        && position - lineStart < PROTOCOL.length
        && pending.getByte(position) == PROTOCOL[position - lineStart]) {
      position++;
    }
    return position > lineStart && startsWithAny(FIELDS, position, lineEnd, false);
  }

  /**
   * Returns whether a line is no field of an event and follows one that ends, as in a head, with a
   * status line. Where the event itself states these bytes, only a known field may follow.
   */
  private boolean isHeaderBehindStatusLine(int lineEnd) {
    int end = lineStart - 2;
    boolean isKnown =
        lineStart == eventEnd
            || end < previousLineStart
            || pending.getByte(end) != '\r'
            || startsWith(DATA_FIELD, lineEnd, false)
            || startsWith(ID_FIELD, lineEnd, false)
            || startsWithAny(SILENT_FIELDS, lineEnd);
    return !isKnown && containsStatusLine(previousLineStart, end);
  }

  private boolean containsStatusLine(int start, int end) {
    for (int i = start; i <= end - STATUS_LENGTH; i++) {
      int code = i + STATUS_LENGTH - 1;
      if (startsWith(PROTOCOL, i, end, false)
          && pending.getByte(code - 3) == ' '
          && isDigit(pending.getByte(code))) {
        return true;
      }
    }
    return false;
  }

  private static boolean isDigit(int read) {
    return read >= '0' && read <= '9';
  }

  /** Returns what a line makes of an event that has neither id nor data before it. */
  private StreamEvent withoutId(int lineEnd) {
    if (startsWith(DATA_FIELD, lineEnd, false)) {
      return UNNUMBERED;
    }
    return startsWithAny(SILENT_FIELDS, lineEnd) ? event : NO_EVENT;
  }

  private boolean isWeightVersion(int lineEnd) {
    if (!startsWith(WEIGHT_VERSIONS, lineEnd, false)) {
      return false;
    }
    int valueStart = lineStart + WEIGHT_VERSIONS.length;
    String value = pending.toString(valueStart, lineEnd - valueStart, StandardCharsets.US_ASCII);
    return !value.isBlank() && value.strip().chars().allMatch(SseFramer::isDigit);
  }

  private boolean startsWithAny(byte[][] names, int lineEnd) {
    return startsWithAny(names, lineStart, lineEnd, true);
  }

  private boolean startsWithAny(byte[][] names, int start, int lineEnd, boolean ignoresCase) {
    for (byte[] name : names) {
      if (startsWith(name, start, lineEnd, ignoresCase)) {
        return true;
      }
    }
    return false;
  }

  private boolean startsWith(byte[] name, int lineEnd, boolean ignoresCase) {
    return startsWith(name, lineStart, lineEnd, ignoresCase);
  }

  private boolean startsWith(byte[] name, int start, int lineEnd, boolean ignoresCase) {
    if (lineEnd - start < name.length) {
      return false;
    }
    for (int i = 0; i < name.length; i++) {
      int read = pending.getByte(start + i);
      boolean isEqual = read == name[i];
      if (!isEqual && !(ignoresCase && Character.toLowerCase(read) == name[i])) {
        return false;
      }
    }
    return true;
  }

  /** Marks the events that were returned so far as to be taken. */
  void accept() {
    acceptedEnd = eventEnd;
  }

  /** Removes the bytes of the accepted events and returns them; the caller owns the buffer. */
  ByteBuf take() {
    int length = acceptedEnd - pending.readerIndex();
    if (length == 0) {
      return Unpooled.EMPTY_BUFFER;
    }
    ByteBuf taken = Unpooled.buffer(length);
    pending.readBytes(taken);
    pending.discardReadBytes();
    acceptedEnd -= length;
    eventEnd -= length;
    lineStart -= length;
    previousLineStart -= length;
    scanned -= length;
    return taken;
  }

  /** Removes all complete events, also those that were not accepted, and returns their bytes. */
  ByteBuf takeAll() {
    accept();
    return take();
  }

  /** Returns whether the last event is still incomplete. */
  boolean hasPartialEvent() {
    return pending.writerIndex() > eventEnd;
  }
}
