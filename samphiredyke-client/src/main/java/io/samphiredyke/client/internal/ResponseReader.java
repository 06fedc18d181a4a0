package io.samphiredyke.client.internal;

import io.netty.channel.EventLoop;
import io.samphiredyke.net.http.ConnectFailedException;
import io.samphiredyke.net.http.HttpResponse;
import io.samphiredyke.net.http.StreamListener;
import io.samphiredyke.net.http.WholeResponseCheck;
import io.samphiredyke.net.sse.SseDecoder;
import io.samphiredyke.net.sse.SseEvent;
import io.samphiredyke.net.sse.SseException;
import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Reads a response and passes it to a handler on the event loop of the request.
 *
 * <p>A response that states the id of another request is a late one on a reused connection and
 * counts as an interruption. So does a response on a reused connection that states no id: it may be
 * the copy of one that the HTTP server of a host sent by itself. The parts arrive on the event loop
 * of the connection and are passed, in order, to that of the request.
 */
final class ResponseReader implements StreamListener {

  private static final int OK = 200;
  private static final int MAX_EVENT_BYTES = 1024 * 1024;
  private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;

  private final EventLoop loop;
  private final String requestId;
  private final WholeResponseCheck wholeResponseCheck;
  private final Handler handler;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private @Nullable SseDecoder decoder;
  private Head head = Head.NONE;
  private boolean isConnectionReused;
  private boolean cancelled;

  /**
   * Creates a reader.
   *
   * @param wholeResponseCheck check that is shared by the readers of one request
   */
  ResponseReader(
      EventLoop loop, String requestId, WholeResponseCheck wholeResponseCheck, Handler handler) {
    this.loop = loop;
    this.requestId = requestId;
    this.wholeResponseCheck = wholeResponseCheck;
    this.handler = handler;
  }

  /** Receives a response on the event loop of the request. */
  interface Handler {

    /** Called with each event of a streamed response. */
    void onEvent(SseEvent event, Head head);

    /** Called with a complete response that is not a stream. */
    void onResponse(Head head, byte[] body);

    /** Called if the response ended before it was complete. */
    void onInterrupted();

    /** Called if no connection could be established, so that nothing was sent. */
    void onConnectFailed();
  }

  /** Ignores the rest of the response. */
  void cancel() {
    cancelled = true;
  }

  private void executeUnlessCancelled(Runnable action) {
    loop.execute(
        () -> {
          if (!cancelled) {
            action.run();
          }
        });
  }

  @Override
  public void onConnectionReused() {
    executeUnlessCancelled(() -> isConnectionReused = true);
  }

  @Override
  public void onHeaders(int status, Map<String, String> headers) {
    executeUnlessCancelled(() -> begin(new Head(status, headers)));
  }

  private void begin(Head received) {
    if (!received.isFor(requestId, isConnectionReused)) {
      cancelled = true;
      handler.onInterrupted();
      return;
    }
    head = received;
    if (received.isEventStream()) {
      decoder = new SseDecoder(MAX_EVENT_BYTES);
    }
  }

  @Override
  public void onChunk(byte[] bytes) {
    executeUnlessCancelled(() -> read(bytes));
  }

  private void read(byte[] bytes) {
    if (decoder == null) {
      readBody(bytes);
      return;
    }
    try {
      decoder.feed(bytes, this::deliver);
    } catch (SseException e) {
      handler.onInterrupted();
    }
  }

  private void readBody(byte[] bytes) {
    if (body.size() + bytes.length > MAX_BODY_BYTES) {
      cancelled = true;
      handler.onInterrupted();
      return;
    }
    body.writeBytes(bytes);
  }

  private void deliver(SseEvent event) {
    if (!cancelled) {
      handler.onEvent(event, head);
    }
  }

  @Override
  public void onEnd() {
    executeUnlessCancelled(this::end);
  }

  private void end() {
    byte[] content = body.toByteArray();
    HttpResponse response = new HttpResponse(head.status(), head.headers(), content, false);
    if (decoder != null || !wholeResponseCheck.isWhole(response)) {
      handler.onInterrupted();
      return;
    }
    handler.onResponse(head, content);
  }

  @Override
  public void onFailure(Throwable cause) {
    boolean connectFailed = cause instanceof ConnectFailedException;
    executeUnlessCancelled(connectFailed ? handler::onConnectFailed : handler::onInterrupted);
  }

  /**
   * The status and the headers of a response. Header names are in lower case.
   *
   * @param status the HTTP status
   * @param headers the headers
   */
  record Head(int status, Map<String, String> headers) {

    static final Head NONE = new Head(0, Map.of());

    /**
     * Returns whether the response is to a request.
     *
     * @param isIdRequired whether a response that states no id is none to the request
     */
    boolean isFor(String requestId, boolean isIdRequired) {
      String stated = headers.getOrDefault("idempotency-key", isIdRequired ? "" : requestId);
      return stated.equals(requestId);
    }

    /** Returns whether the body is part of a stream; that of an error never is. */
    boolean isEventStream() {
      return status == OK && contentType().startsWith("text/event-stream");
    }

    boolean isProblem() {
      return contentType().startsWith("application/problem+json");
    }

    private String contentType() {
      return headers.getOrDefault("content-type", "");
    }

    /**
     * Returns whether the response asks for a new ticket, because a host of the current one is
     * draining or gone.
     */
    boolean asksForNewTicket() {
      return headers.containsKey("samphiredyke-renew-ticket");
    }

    boolean hasRetryAfter() {
      return headers.containsKey("retry-after");
    }

    /** Returns the delay from the {@code Retry-After} header, 0 if it has no value in seconds. */
    long retryAfterNanos() {
      try {
        double seconds = Double.parseDouble(headers.getOrDefault("retry-after", "0"));
        return (long) (Math.max(0, seconds) * TimeUnit.SECONDS.toNanos(1));
      } catch (NumberFormatException e) {
        return 0;
      }
    }
  }
}
