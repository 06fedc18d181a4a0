package io.samphiredyke.net.sse;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.StringJoiner;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Decodes a byte stream into server-sent events.
 *
 * <p>The input may be split at any byte. Lines end with LF or CR LF. Comments and unknown fields
 * are skipped. Not thread-safe.
 */
public final class SseDecoder {

  private final int maxEventBytes;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private String id = "";
  private @Nullable StringJoiner data;
  private int eventBytes;

  /**
   * Creates a decoder.
   *
   * @param maxEventBytes the longest event, in bytes
   */
  public SseDecoder(int maxEventBytes) {
    this.maxEventBytes = maxEventBytes;
  }

  /**
   * Decodes more bytes and passes on each event that they complete.
   *
   * @throws SseException if an event is too long
   */
  public void feed(byte[] bytes, Consumer<SseEvent> events) {
    for (byte b : bytes) {
      if (b != '\n') {
        append(b);
        continue;
      }
      endLine(events);
    }
  }

  private void append(byte b) {
    line.write(b);
    eventBytes++;
    if (eventBytes > maxEventBytes) {
      throw new SseException("the event exceeds " + maxEventBytes + " bytes");
    }
  }

  private void endLine(Consumer<SseEvent> events) {
    String text = line.toString(StandardCharsets.UTF_8);
    line.reset();
    if (text.endsWith("\r")) {
      text = text.substring(0, text.length() - 1);
    }
    if (text.isEmpty()) {
      endEvent(events);
      return;
    }
    readField(text);
  }

  private void readField(String text) {
    int colon = text.indexOf(':');
    if (colon == 0) {
      return;
    }
    String name = colon < 0 ? text : text.substring(0, colon);
    String value = colon < 0 ? "" : text.substring(colon + 1);
    if (value.startsWith(" ")) {
      value = value.substring(1);
    }
    if (name.equals("id")) {
      id = value;
    }
    if (name.equals("data")) {
      StringJoiner joined = data == null ? new StringJoiner("\n") : data;
      data = joined.add(value);
    }
  }

  private void endEvent(Consumer<SseEvent> events) {
    eventBytes = 0;
    StringJoiner joined = data;
    data = null;
    if (joined != null) {
      events.accept(new SseEvent(id, joined.toString()));
    }
  }
}
