package io.samphiredyke.client.internal;

import io.netty.channel.EventLoop;
import io.samphiredyke.net.http.ConnectFailedException;
import io.samphiredyke.net.http.StreamListener;
import io.samphiredyke.net.sse.SseDecoder;
import io.samphiredyke.net.sse.SseEvent;
import io.samphiredyke.net.sse.SseException;
import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Reads one response and reports it on the request's event loop.
 *
 * <p>The parts arrive on the connection's event loop and are moved, in order, to the request's.
 */
final class ResponseReader implements StreamListener {

  private static final int MAX_EVENT_BYTES = 1024 * 1024;

  private final EventLoop loop;
  private final Handler handler;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private @Nullable SseDecoder decoder;
  private Head head = Head.NONE;
  private boolean abandoned;

  ResponseReader(EventLoop loop, Handler handler) {
    this.loop = loop;
    this.handler = handler;
  }

  /** Receives a response on the request's event loop. */
  interface Handler {

    /** Called with each event of a stream. */
    void event(SseEvent event, Head head);

    /** Called with a whole answer that isn't a stream. */
    void whole(Head head, byte[] body);

    /** Called when the answer ended before it was whole. */
    void cut();

    /** Called when no connection could be made, so that nothing was sent. */
    void connectFailed();
  }

  /** Drops whatever is still to come. */
  void abandon() {
    abandoned = true;
  }

  private void inOrder(Runnable step) {
    loop.execute(
        () -> {
          if (!abandoned) {
            step.run();
          }
        });
  }

  @Override
  public void onHeaders(int status, Map<String, String> headers) {
    inOrder(() -> begin(new Head(status, headers)));
  }

  private void begin(Head received) {
    head = received;
    if (received.isEventStream()) {
      decoder = new SseDecoder(MAX_EVENT_BYTES);
    }
  }

  @Override
  public void onChunk(byte[] bytes) {
    inOrder(() -> read(bytes));
  }

  private void read(byte[] bytes) {
    if (decoder == null) {
      body.writeBytes(bytes);
      return;
    }
    try {
      decoder.feed(bytes, this::pass);
    } catch (SseException e) {
      handler.cut();
    }
  }

  private void pass(SseEvent event) {
    if (!abandoned) {
      handler.event(event, head);
    }
  }

  @Override
  public void onEnd() {
    inOrder(this::end);
  }

  private void end() {
    if (decoder != null) {
      handler.cut();
      return;
    }
    handler.whole(head, body.toByteArray());
  }

  @Override
  public void onFailure(Throwable cause) {
    boolean nothingSent = cause instanceof ConnectFailedException;
    inOrder(nothingSent ? handler::connectFailed : handler::cut);
  }

  /**
   * The status and the headers, whose names are in lower case.
   *
   * @param status the HTTP status
   * @param headers the headers
   */
  record Head(int status, Map<String, String> headers) {

    static final Head NONE = new Head(0, Map.of());

    boolean isEventStream() {
      return contentType().startsWith("text/event-stream");
    }

    boolean isProblem() {
      return contentType().startsWith("application/problem+json");
    }

    private String contentType() {
      return headers.getOrDefault("content-type", "");
    }

    /** Returns whether the ticket of the request names a host that is leaving or gone. */
    boolean renewsTicket() {
      return headers.containsKey("samphiredyke-renew-ticket");
    }

    boolean hasRetryAfter() {
      return headers.containsKey("retry-after");
    }

    /** Returns how long the answer asks to wait, 0 if it doesn't say so in seconds. */
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
