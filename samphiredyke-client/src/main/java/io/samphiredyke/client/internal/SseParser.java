package io.samphiredyke.client.internal;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Splits a byte stream into server-sent events, however the stream is cut into chunks.
 *
 * <p>Lines end with LF, CR or CR LF. Comments and unknown fields are skipped. An event that the
 * stream ends within is dropped, as the standard asks. Not safe for use by several threads.
 *
 * @see <a href="https://html.spec.whatwg.org/multipage/server-sent-events.html">the standard</a>
 */
public final class SseParser {

  private static final String DEFAULT_TYPE = "message";

  private final Consumer<SseEvent> events;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final StringBuilder data = new StringBuilder();
  private boolean afterCarriageReturn;
  private boolean hasData;
  private String type = "";
  private String id = "";

  /** Creates a parser that gives each complete event to a consumer. */
  public SseParser(Consumer<SseEvent> events) {
    this.events = events;
  }

  /** Reads a chunk. */
  public void read(byte[] chunk) {
    for (byte next : chunk) {
      readByte(next);
    }
  }

  private void readByte(byte next) {
    boolean secondOfPair = afterCarriageReturn && next == '\n';
    afterCarriageReturn = next == '\r';
    if (secondOfPair) {
      return;
    }
    if (next == '\n' || next == '\r') {
      endLine();
      return;
    }
    line.write(next);
  }

  private void endLine() {
    String text = line.toString(StandardCharsets.UTF_8);
    line.reset();
    if (text.isEmpty()) {
      dispatch();
      return;
    }
    int colon = text.indexOf(':');
    if (colon == 0) {
      return;
    }
    if (colon < 0) {
      field(text, "");
      return;
    }
    int start = text.startsWith(" ", colon + 1) ? colon + 2 : colon + 1;
    field(text.substring(0, colon), text.substring(start));
  }

  private void field(String name, String value) {
    switch (name) {
      case "data" -> addData(value);
      case "event" -> type = value;
      case "id" -> id = value;
      default -> {
        // Other fields, such as retry, don't concern a caller that resumes by itself.
      }
    }
  }

  private void addData(String value) {
    if (hasData) {
      data.append('\n');
    }
    hasData = true;
    data.append(value);
  }

  private void dispatch() {
    boolean complete = hasData;
    SseEvent event = new SseEvent(id, type.isEmpty() ? DEFAULT_TYPE : type, data.toString());
    data.setLength(0);
    hasData = false;
    type = "";
    if (complete) {
      events.accept(event);
    }
  }
}
