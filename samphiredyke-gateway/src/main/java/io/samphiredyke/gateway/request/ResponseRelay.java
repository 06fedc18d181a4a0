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
  private static final int MAX_BUFFERED_BYTES = 512 * 1024;

  private final ResponseWriter writer;
  private final boolean isStream;
  private ByteBuf buffered = Unpooled.buffer(0);
  private @Nullable HttpHeaders headers;
  private int status;
  private boolean started;
  private SseFramer framer = new SseFramer();
  private long lastEventId = -1;
  private boolean isResumed;

  ResponseRelay(ResponseWriter answer, boolean isStream) {
    this.writer = answer;
    this.isStream = isStream;
  }

  /** Takes the head of an answer; a continuation keeps the head of the first one. */
  void onHead(HttpResponse response, boolean passEvents) {
    if (started) {
      return;
    }
    status = response.status().code();
    headers = responseHeaders(response.headers());
    if (isStream && passEvents) {
      started = true;
      writer.start(status, headers);
    }
  }

  private static HttpHeaders responseHeaders(HttpHeaders fromEndpoint) {
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
  boolean onContent(ByteBuf piece) {
    if (!started) {
      buffered.writeBytes(piece);
      if (buffered.readableBytes() > MAX_BUFFERED_BYTES) {
        flushBuffered();
      }
      return true;
    }
    if (!isStream) {
      writer.write(Unpooled.copiedBuffer(piece));
      return true;
    }
    ByteBuf whole = framer.add(piece);
    if (!whole.isReadable()) {
      return true;
    }
    if (isResumed && framer.firstEventId() >= 0 && framer.firstEventId() <= lastEventId) {
      whole.release();
      return false;
    }
    if (framer.lastEventId() >= 0) {
      lastEventId = framer.lastEventId();
      isResumed = false;
    }
    writer.write(whole);
    return true;
  }

  private void flushBuffered() {
    HttpHeaders known = headers;
    if (known != null) {
      started = true;
      writer.start(status, known);
      writer.write(buffered);
      buffered = Unpooled.buffer(0);
    }
  }

  /** Returns whether a stream ends within an event. */
  boolean endsMidEvent() {
    return started && isStream && framer.hasPartialEvent();
  }

  /** Ends the answer. */
  void end() {
    if (started) {
      writer.end();
      return;
    }
    HttpHeaders known = headers;
    if (known != null) {
      ByteBuf whole = buffered;
      buffered = Unpooled.EMPTY_BUFFER;
      writer.send(status, known, whole);
    }
  }

  /** Prepares for the answer of another endpoint. */
  void prepareRetry() {
    if (!started) {
      buffered.clear();
      headers = null;
    }
    framer = new SseFramer();
    isResumed = started;
  }

  boolean hasStarted() {
    return started;
  }

  /** Returns whether a started answer can be continued by another endpoint. */
  boolean canResume() {
    return isStream && lastEventId >= 0;
  }

  /** Returns the last whole event that was passed on, or -1. */
  long lastEventId() {
    return lastEventId;
  }

  boolean isWritable() {
    return writer.isWritable();
  }

  void release() {
    buffered.release();
    buffered = Unpooled.EMPTY_BUFFER;
  }
}
