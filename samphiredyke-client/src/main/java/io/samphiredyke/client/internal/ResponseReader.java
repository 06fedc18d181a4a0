package io.samphiredyke.client.internal;

import io.netty.channel.EventLoop;
import io.samphiredyke.net.http.StreamListener;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Moves the parts of a response, in order, from its connection's event loop to the request's. */
final class ResponseReader implements StreamListener {

  private final EventLoop loop;
  private final Sink sink;

  ResponseReader(EventLoop loop, Sink sink) {
    this.loop = loop;
    this.sink = sink;
  }

  /** Receives the parts on the request's event loop. */
  interface Sink {
    void head(Head head);

    void chunk(byte[] bytes);

    void end();

    void failure(Throwable cause);
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

  @Override
  public void onHead(int status, Map<String, String> headers) {
    loop.execute(() -> sink.head(new Head(status, headers)));
  }

  @Override
  public void onChunk(byte[] bytes) {
    loop.execute(() -> sink.chunk(bytes));
  }

  @Override
  public void onEnd() {
    loop.execute(sink::end);
  }

  @Override
  public void onFailure(Throwable cause) {
    loop.execute(() -> sink.failure(cause));
  }
}
