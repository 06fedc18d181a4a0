package io.samphiredyke.client.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.samphiredyke.client.ResponseListener;
import io.samphiredyke.net.codec.Json;
import io.samphiredyke.net.sse.SseEvent;
import java.io.IOException;
import org.jspecify.annotations.Nullable;

/**
 * Assembles a streamed response without gaps from one or more connections.
 *
 * <p>Events have the offsets 1, 2, 3 and so on. An event that was received before is dropped. An
 * event after a gap is rejected, so that the caller resumes after {@link #lastOffset()}. The
 * response is complete only after {@code [DONE]} was received at the next offset.
 */
public final class StreamAssembler {

  private final ResponseListener listener;
  private final StringBuilder text = new StringBuilder();
  private long lastOffset;
  private boolean done;

  /** Creates an assembler that reports the text of each event to a listener. */
  public StreamAssembler(ResponseListener listener) {
    this.listener = listener;
  }

  /** The result of adding an event. */
  public enum Result {
    /** The event has the next offset. */
    ACCEPTED,
    /** The event was received before. */
    DUPLICATE,
    /** The event does not have the next offset, or is malformed. */
    REJECTED
  }

  /** Adds an event. */
  public Result accept(SseEvent event) {
    long offset = parseOffset(event.id());
    if (offset >= 1 && offset <= lastOffset) {
      return Result.DUPLICATE;
    }
    if (offset != lastOffset + 1 || done) {
      return Result.REJECTED;
    }
    if (event.isDone()) {
      lastOffset = offset;
      done = true;
      return Result.ACCEPTED;
    }
    String delta = parseDelta(event.data());
    if (delta == null) {
      return Result.REJECTED;
    }
    lastOffset = offset;
    text.append(delta);
    listener.onText(offset, delta);
    return Result.ACCEPTED;
  }

  /** Returns the offset of the last accepted event, 0 before the first. */
  public long lastOffset() {
    return lastOffset;
  }

  /** Returns whether the response is complete. */
  public boolean isComplete() {
    return done;
  }

  /** Returns the text received so far. */
  public String text() {
    return text.toString();
  }

  private static long parseOffset(String id) {
    try {
      return Long.parseLong(id);
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  private static @Nullable String parseDelta(String data) {
    try {
      JsonNode chunk = Json.mapper().readTree(data);
      JsonNode choices = chunk.path("choices");
      return choices.isArray() ? choices.path(0).path("delta").path("content").asText("") : null;
    } catch (IOException e) {
      return null;
    }
  }

  /** Returns the text of a chat completion, or null if the body is not a chat completion. */
  static @Nullable String completionText(byte[] body) {
    try {
      JsonNode content =
          Json.mapper().readTree(body).path("choices").path(0).path("message").path("content");
      return content.isTextual() ? content.asText() : null;
    } catch (IOException e) {
      return null;
    }
  }
}
