package io.samphiredyke.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.samphiredyke.core.serving.RouteKind;
import io.samphiredyke.core.stream.EventDecision;
import io.samphiredyke.core.stream.EventSequence;
import io.samphiredyke.core.stream.StreamEvent;
import io.samphiredyke.gateway.frontend.ResponseWriter;
import org.jspecify.annotations.Nullable;

/**
 * Relays an endpoint's response to the caller.
 *
 * <p>A plain response is buffered until it is complete, so that a failed one can be replaced by the
 * response of another endpoint. A stream is relayed event by event and can be resumed after the
 * last complete event; its head is relayed with the first event, so that a stream without one can
 * be replaced as well.
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
  private boolean hasEvents;
  private SseFramer framer = new SseFramer();
  private final EventSequence sequence;
  private long progress;
  private long receivedBytes;
  private long lastReceivedId = -1;
  private final Runnable onFirstEvent;

  /**
   * Creates a relay.
   *
   * @param afterId id of the last event that the caller has, or -1
   * @param memory reserved for what is buffered, until the request ends or is retried
   * @param onFirstEvent runs before the first event of a stream is passed on
   */
  ResponseRelay(
      ResponseWriter writer,
      RouteKind kind,
      long afterId,
      ResponseMemory.Share memory,
      Runnable onFirstEvent) {
    this.memory = memory;
    this.writer = writer;
    this.isStream = kind.isStream();
    // Only a resumable stream is promised to continue after the event that the caller names.
    this.sequence = new EventSequence(kind == RouteKind.RESUMABLE_STREAM ? afterId : -1);
    this.onFirstEvent = onFirstEvent;
  }

  /**
   * Returns whether the head of a success can belong to the rest of the response: none has begun,
   * or the media types are the same, as far as both are stated.
   */
  boolean canContinueWith(HttpResponse response) {
    HttpHeaders begun = headers;
    if (!started || begun == null) {
      return true;
    }
    String expected = mediaType(begun);
    String stated = mediaType(response.headers());
    return expected.isEmpty() || stated.isEmpty() || expected.equalsIgnoreCase(stated);
  }

  private static String mediaType(HttpHeaders headers) {
    String type = headers.get(HttpHeaderNames.CONTENT_TYPE, "");
    int end = type.indexOf(';');
    return (end < 0 ? type : type.substring(0, end)).strip();
  }

  /** Handles the head of a response. A stream keeps the head that its first event came with. */
  void onHead(HttpResponse response, boolean isSuccess) {
    if (started) {
      return;
    }
    status = response.status().code();
    headers = responseHeaders(response.headers());
    hasEvents = isStream && isSuccess;
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
   * Handles a chunk of the body. Of a stream, the events before a faulty one are passed on.
   *
   * @return why the attempt is faulty; {@link EventDecision#PASS} if it is not
   */
  EventDecision onContent(ByteBuf chunk) {
    receivedBytes += chunk.readableBytes();
    if (hasEvents) {
      return relayEvents(chunk);
    }
    progress++;
    if (!started && !mayBuffer(chunk.readableBytes())) {
      flushBuffered();
    }
    if (started) {
      writer.write(Unpooled.copiedBuffer(chunk));
    } else {
      buffered.writeBytes(chunk);
    }
    return EventDecision.PASS;
  }

  private EventDecision relayEvents(ByteBuf chunk) {
    framer.add(chunk);
    EventDecision decision = EventDecision.PASS;
    for (StreamEvent event = framer.next(); event != null; event = framer.next()) {
      decision = sequence.accept(event);
      if (decision.isFaulty()) {
        lastReceivedId = event.id();
        break;
      }
      if (decision == EventDecision.PASS) {
        framer.accept();
        progress++;
      }
    }
    ByteBuf accepted = framer.take();
    if (accepted.isReadable()) {
      startStream();
      writer.write(accepted);
    }
    return decision.isFaulty() ? decision : EventDecision.PASS;
  }

  private void startStream() {
    HttpHeaders received = headers;
    if (started || received == null) {
      return;
    }
    started = true;
    onFirstEvent.run();
    writer.start(status, received);
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
    return hasEvents && framer.hasPartialEvent();
  }

  /** Completes the response to the caller. */
  void end() {
    if (started) {
      writer.end();
      return;
    }
    HttpHeaders received = headers;
    if (received != null) {
      ByteBuf body = hasEvents ? framer.takeAll() : buffered;
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
      hasEvents = false;
    }
    framer = new SseFramer();
    sequence.attemptBegins();
  }

  boolean hasStarted() {
    return started;
  }

  /** Returns whether another endpoint can resume a response that has started. */
  boolean canResume() {
    return hasEvents && sequence.canResume();
  }

  /** Returns the id of the last complete event that the caller has, or -1. */
  long lastEventId() {
    return sequence.lastId();
  }

  /** Returns the lowest id that the next event may have. */
  long lowestNextId() {
    return sequence.lowestNextId();
  }

  /** Returns the id of the event that made an attempt faulty, or -1 if it has none. */
  long lastReceivedId() {
    return lastReceivedId;
  }

  /** Returns a number that rises with each event or chunk of a plain response. */
  long progress() {
    return progress;
  }

  /** Returns the number of bytes received in the bodies of all attempts. */
  long receivedBytes() {
    return receivedBytes;
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
