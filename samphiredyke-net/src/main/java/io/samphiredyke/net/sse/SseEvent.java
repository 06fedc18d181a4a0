package io.samphiredyke.net.sse;

import java.nio.charset.StandardCharsets;

/**
 * A server-sent event.
 *
 * @param id the value of the most recent {@code id} field, empty if there was none
 * @param data the {@code data} lines, joined by line feeds
 */
public record SseEvent(String id, String data) {

  /** The data of the event that ends a chat completion stream. */
  public static final String DONE = "[DONE]";

  /** Returns whether this event ends a chat completion stream. */
  public boolean isDone() {
    return data.equals(DONE);
  }

  /** Returns the event in its wire format, in UTF-8. */
  public byte[] bytes() {
    StringBuilder text = new StringBuilder(data.length() + id.length() + 20);
    if (!id.isEmpty()) {
      text.append("id: ").append(id).append('\n');
    }
    data.lines().forEach(line -> text.append("data: ").append(line).append('\n'));
    text.append('\n');
    return text.toString().getBytes(StandardCharsets.UTF_8);
  }
}
