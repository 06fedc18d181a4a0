package io.samphiredyke.net.sse;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import java.util.StringJoiner;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Decodes a byte stream into server-sent events.
 *
 * <p>The input may be split at any byte. Lines end with LF or CR LF. Comments and unknown fields
 * are skipped. A line that only the head of a response has shows that the body was cut off and goes
 * on with another response, as does a line that ends, as in a head, with a status line and CR LF.
 * Not thread-safe.
 */
public final class SseDecoder {

  private static final String PROTOCOL = "HTTP/1.";

  /** A status line at the end of a line; a reason has neither quotes nor other punctuation. */
  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.[0-9] [0-9]{3}(?: [A-Za-z' -]*)?\\r\\z");

  /** Lower-case names of lines in the head of a response that no event has. */
  private static final Set<String> HEAD_FIELDS =
      Set.of(
          "connection", "content-length", "content-type", "idempotency-key", "transfer-encoding");

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
   * @throws SseException if an event is too long or contains a line of the head of a response
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
    if (STATUS_LINE.matcher(text).find()) {
      throw new SseException("the status line of a response within a stream");
    }
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
    if (name.startsWith(PROTOCOL) || HEAD_FIELDS.contains(name.toLowerCase(Locale.ROOT))) {
      throw new SseException("the head of a response within a stream");
    }
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
