package io.samphiredyke.client.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.samphiredyke.client.ResponseListener;
import io.samphiredyke.net.codec.Json;
import io.samphiredyke.net.sse.SseEvent;
import java.io.IOException;
import org.jspecify.annotations.Nullable;

/**
 * Puts a streamed answer together from one or more connections, without gaps.
 *
 * <p>Events must carry the offsets 1, 2, 3 and so on. One that was received before is dropped; one
 * that leaves a gap is refused, so that the caller resumes after {@link #lastOffset()}. The answer
 * is whole only after {@code [DONE]} came at the next offset.
 */
public final class Reception {

  private final ResponseListener listener;
  private final StringBuilder text = new StringBuilder();
  private long lastOffset;
  private boolean done;

  /** Creates an empty answer that reports its parts to a listener. */
  public Reception(ResponseListener listener) {
    this.listener = listener;
  }

  /** What became of an event. */
  public enum Result {
    /** The event was the next one. */
    ACCEPTED,
    /** The event was received before. */
    DUPLICATE,
    /** The event isn't the next one, or can't be read. */
    REFUSED
  }

  /** Takes an event. */
  public Result accept(SseEvent event) {
    long offset = parseOffset(event.id());
    if (offset >= 1 && offset <= lastOffset) {
      return Result.DUPLICATE;
    }
    if (offset != lastOffset + 1 || done) {
      return Result.REFUSED;
    }
    if (event.isDone()) {
      lastOffset = offset;
      done = true;
      return Result.ACCEPTED;
    }
    String delta = parseDelta(event.data());
    if (delta == null) {
      return Result.REFUSED;
    }
    lastOffset = offset;
    text.append(delta);
    listener.onText(offset, delta);
    return Result.ACCEPTED;
  }

  /** Returns the offset of the last event of the part without gaps, 0 before the first. */
  public long lastOffset() {
    return lastOffset;
  }

  /** Returns whether the answer is whole. */
  public boolean isWhole() {
    return done;
  }

  /** Returns the text so far. */
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

  /** Returns the text of a chat completion, or null if the body isn't one. */
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
