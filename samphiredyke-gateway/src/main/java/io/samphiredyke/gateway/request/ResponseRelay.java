package io.samphiredyke.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.samphiredyke.gateway.frontend.ResponseWriter;
import org.jspecify.annotations.Nullable;

/**
 * Passes an endpoint's answer on to the caller.
 *
 * <p>A plain answer is held until it is whole, so that a broken one can be replaced. A stream is
 * passed on event by event and can be continued after the last whole event.
 */
final class ResponseRelay {

  /** Length up to which a plain answer is held back until it is whole, bytes. */
  private static final int MAX_HELD_BYTES = 512 * 1024;

  private final ResponseWriter answer;
  private final boolean isStream;
  private ByteBuf held = Unpooled.buffer(0);
  private @Nullable HttpHeaders headers;
  private int status;
  private boolean started;
  private SseFramer events = new SseFramer();
  private long lastEvent = -1;
  private boolean isContinuation;

  ResponseRelay(ResponseWriter answer, boolean isStream) {
    this.answer = answer;
    this.isStream = isStream;
  }

  /** Takes the head of an answer; a continuation keeps the head of the first one. */
  void head(HttpResponse response, boolean passEvents) {
    if (started) {
      return;
    }
    status = response.status().code();
    headers = answerHeaders(response.headers());
    if (isStream && passEvents) {
      started = true;
      answer.start(status, headers);
    }
  }

  private static HttpHeaders answerHeaders(HttpHeaders fromEndpoint) {
    HttpHeaders copy = new DefaultHttpHeaders(false);
    copy.add(fromEndpoint);
    for (String named : fromEndpoint.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : named.split(",")) {
        if (!name.isBlank()) {
          copy.remove(name.strip());
        }
      }
    }
    copy.remove(HttpHeaderNames.CONNECTION);
    copy.remove(HttpHeaderNames.TRANSFER_ENCODING);
    copy.remove(HttpHeaderNames.CONTENT_LENGTH);
    copy.remove(HttpHeaderNames.TRAILER);
    copy.remove("Keep-Alive");
    return copy;
  }

  /**
   * Takes a piece of the body.
   *
   * @return false if it does not continue the stream where it broke off
   */
  boolean content(ByteBuf piece) {
    if (!started) {
      held.writeBytes(piece);
      if (held.readableBytes() > MAX_HELD_BYTES) {
        startHeld();
      }
      return true;
    }
    if (!isStream) {
      answer.write(Unpooled.copiedBuffer(piece));
      return true;
    }
    ByteBuf whole = events.add(piece);
    if (!whole.isReadable()) {
      return true;
    }
    if (isContinuation && events.firstEvent() >= 0 && events.firstEvent() <= lastEvent) {
      whole.release();
      return false;
    }
    if (events.lastEvent() >= 0) {
      lastEvent = events.lastEvent();
      isContinuation = false;
    }
    answer.write(whole);
    return true;
  }

  private void startHeld() {
    HttpHeaders known = headers;
    if (known != null) {
      started = true;
      answer.start(status, known);
      answer.write(held);
      held = Unpooled.buffer(0);
    }
  }

  /** Returns whether a stream ends within an event. */
  boolean endsWithinEvent() {
    return started && isStream && events.isWithinEvent();
  }

  /** Ends the answer. */
  void end() {
    if (started) {
      answer.end();
      return;
    }
    HttpHeaders known = headers;
    if (known != null) {
      ByteBuf whole = held;
      held = Unpooled.EMPTY_BUFFER;
      answer.send(status, known, whole);
    }
  }

  /** Prepares for the answer of another endpoint. */
  void nextRun() {
    if (!started) {
      held.clear();
      headers = null;
    }
    events = new SseFramer();
    isContinuation = started;
  }

  boolean hasStarted() {
    return started;
  }

  /** Returns whether a started answer can be continued by another endpoint. */
  boolean canResume() {
    return isStream && lastEvent >= 0;
  }

  /** Returns the last whole event that was passed on, or -1. */
  long lastEvent() {
    return lastEvent;
  }

  boolean isWritable() {
    return answer.isWritable();
  }

  void release() {
    held.release();
    held = Unpooled.EMPTY_BUFFER;
  }
}
