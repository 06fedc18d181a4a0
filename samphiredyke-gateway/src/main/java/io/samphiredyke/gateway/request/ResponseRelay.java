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
 * Relays an endpoint's response to the caller.
 *
 * <p>A plain response is buffered until it is complete, so that a failed one can be replaced by the
 * response of another endpoint. A stream is relayed event by event and can be resumed after the
 * last complete event.
 */
final class ResponseRelay {

  /** Largest buffered response; a longer one is streamed and can no longer be replaced. */
  private static final int MAX_BUFFERED_BYTES = 512 * 1024;

  private final ResponseWriter writer;
  private final boolean isStream;
  private final ResponseMemory.Share memory;
  private ByteBuf buffered = Unpooled.buffer(0);
  private @Nullable HttpHeaders headers;
  private int status;
  private boolean started;
  private SseFramer framer = new SseFramer();
  private long lastEventId = -1;
  private boolean isResumed;
  private boolean hasPassedEvent;
  private final Runnable onFirstEvent;

  /**
   * Creates a relay.
   *
   * @param memory reserved for what is buffered, until the request ends or is retried
   * @param onFirstEvent runs before the first event of a stream is passed on
   */
  ResponseRelay(
      ResponseWriter writer, boolean isStream, ResponseMemory.Share memory, Runnable onFirstEvent) {
    this.memory = memory;
    this.writer = writer;
    this.isStream = isStream;
    this.onFirstEvent = onFirstEvent;
  }

  /** Handles the head of a response. A resumed stream keeps the head of the first response. */
  void onHead(HttpResponse response, boolean isSuccess) {
    if (started) {
      return;
    }
    status = response.status().code();
    headers = responseHeaders(response.headers());
    if (isStream && isSuccess) {
      started = true;
      writer.start(status, headers);
    }
  }

  private static HttpHeaders responseHeaders(HttpHeaders fromEndpoint) {
    HttpHeaders copy = new DefaultHttpHeaders(false);
    copy.add(fromEndpoint);
    for (String list : fromEndpoint.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : list.split(",")) {
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
   * Handles a chunk of the body.
   *
   * @return false if a resumed stream does not continue after the last event that was relayed
   */
  boolean onContent(ByteBuf chunk) {
    if (!started && !mayBuffer(chunk.readableBytes())) {
      flushBuffered();
    }
    if (!started) {
      buffered.writeBytes(chunk);
      return true;
    }
    if (!isStream) {
      writer.write(Unpooled.copiedBuffer(chunk));
      return true;
    }
    ByteBuf completeEvents = framer.add(chunk);
    if (!completeEvents.isReadable()) {
      return true;
    }
    if (isResumed && framer.firstEventId() >= 0 && framer.firstEventId() <= lastEventId) {
      completeEvents.release();
      return false;
    }
    if (!hasPassedEvent) {
      hasPassedEvent = true;
      onFirstEvent.run();
    }
    if (framer.lastEventId() >= 0) {
      lastEventId = framer.lastEventId();
      isResumed = false;
    }
    writer.write(completeEvents);
    return true;
  }

  private boolean mayBuffer(int bytes) {
    return buffered.readableBytes() + bytes <= MAX_BUFFERED_BYTES && memory.reserve(bytes);
  }

  private void flushBuffered() {
    HttpHeaders received = headers;
    if (received != null) {
      started = true;
      writer.start(status, received);
      writer.write(buffered);
      buffered = Unpooled.buffer(0);
    }
  }

  /** Returns whether a stream ends in the middle of an event. */
  boolean endsMidEvent() {
    return started && isStream && framer.hasPartialEvent();
  }

  /** Completes the response to the caller. */
  void end() {
    if (started) {
      writer.end();
      return;
    }
    HttpHeaders received = headers;
    if (received != null) {
      ByteBuf body = buffered;
      buffered = Unpooled.EMPTY_BUFFER;
      writer.send(status, received, body);
    }
  }

  /** Prepares for the response of another endpoint. */
  void prepareRetry() {
    if (!started) {
      release();
      buffered = Unpooled.buffer(0);
      headers = null;
    }
    framer = new SseFramer();
    isResumed = started;
  }

  boolean hasStarted() {
    return started;
  }

  /** Returns whether another endpoint can resume a response that has started. */
  boolean canResume() {
    return isStream && lastEventId >= 0;
  }

  /** Returns the id of the last complete event that was relayed, or -1. */
  long lastEventId() {
    return lastEventId;
  }

  boolean isWritable() {
    return writer.isWritable();
  }

  void release() {
    buffered.release();
    buffered = Unpooled.EMPTY_BUFFER;
    memory.release();
  }
}
