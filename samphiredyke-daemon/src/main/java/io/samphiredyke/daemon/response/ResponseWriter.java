package io.samphiredyke.daemon.response;

import io.samphiredyke.daemon.response.Problem.ExecutionStatus;
import io.samphiredyke.net.http.HttpExchange;
import io.samphiredyke.net.http.ResponseStream;
import io.samphiredyke.net.sse.SseEvent;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Writes a buffered response to one caller, from a given chunk on, as fast as the caller reads.
 *
 * <p>The state is accessed only on the event loop of the caller's connection, except {@link
 * #failure} and {@link #deliveredBytes}.
 */
public final class ResponseWriter implements ResponseBuffer.Reader {

  /**
   * Header that asks the caller to get a new ticket, because a host in the chain of its ticket is
   * draining or not alive.
   */
  private static final String RENEW_HEADER = "samphiredyke-renew-ticket";

  private final HttpExchange exchange;
  private final ResponseBuffer buffer;
  private final String requestId;
  private final boolean wantsStream;
  private final boolean shouldRenewTicket;
  private long deliveredChunks;
  private volatile long deliveredBytes;
  private @Nullable ResponseStream stream;
  private volatile @Nullable Problem failure;
  private boolean isEnded;

  /**
   * Creates a writer.
   *
   * @param afterChunk the number of the last chunk that the caller already has
   * @param wantsStream whether the caller requested server-sent events
   * @param shouldRenewTicket whether the caller should get a new ticket before its next request
   */
  public ResponseWriter(
      HttpExchange exchange,
      ResponseBuffer buffer,
      String requestId,
      long afterChunk,
      boolean wantsStream,
      boolean shouldRenewTicket) {
    this.exchange = exchange;
    this.buffer = buffer;
    this.requestId = requestId;
    this.deliveredChunks = afterChunk;
    this.wantsStream = wantsStream;
    this.shouldRenewTicket = shouldRenewTicket;
    this.deliveredBytes = wantsStream ? buffer.bytesUpTo(afterChunk) : Long.MAX_VALUE;
  }

  /** Starts to write. */
  public void start() {
    buffer.addReader(this);
    onChange();
  }

  @Override
  public void onChange() {
    exchange.eventLoop().execute(this::writeAvailable);
  }

  @Override
  public long readBytes() {
    return deliveredBytes;
  }

  private void writeAvailable() {
    ResponseHead head = buffer.head();
    if (isEnded || head == null) {
      return;
    }
    if (buffer.isDropped()) {
      abort();
      return;
    }
    if (wantsStream && head.isStream()) {
      writeEvents();
    } else if (buffer.isComplete()) {
      sendComplete(head);
    }
  }

  /**
   * Aborts the response because its chunks were dropped. The caller resumes with the request id,
   * and the entry then fetches the response from the endpoint again.
   *
   * <p>After {@link #fail} the chunks may be dropped before the problem is sent; the problem then
   * ends the response.
   */
  private void abort() {
    if (failure != null) {
      return;
    }
    detach();
    ResponseStream open = stream;
    if (open != null) {
      open.abort();
      return;
    }
    Problem.of(
            503,
            "memory full",
            "the answer was dropped; resume with the same id",
            ExecutionStatus.EXECUTED)
        .withRetryAfter(Duration.ofSeconds(1))
        .send(exchange);
  }

  private void writeEvents() {
    ResponseStream open = stream;
    if (open == null) {
      open = exchange.startStream(200, headers("text/event-stream"));
      stream = open;
    }
    boolean complete = buffer.isComplete();
    while (open.isWritable()) {
      byte[] chunk = buffer.chunk(deliveredChunks + 1);
      if (chunk == null && buffer.isDropped()) {
        abort();
        return;
      }
      if (chunk == null) {
        buffer.readerAdvanced();
        endIfComplete(complete, open);
        return;
      }
      deliveredChunks++;
      deliveredBytes += chunk.length;
      open.write(chunk);
    }
    buffer.readerAdvanced();
    open.whenWritable(this::writeAvailable);
  }

  private void endIfComplete(boolean complete, ResponseStream open) {
    if (complete) {
      detach();
      open.end();
    }
  }

  private void sendComplete(ResponseHead head) {
    List<byte[]> chunks = buffer.completeChunks();
    if (chunks == null) {
      abort();
      return;
    }
    detach();
    if (head.isStream()) {
      sendCompletion(chunks);
      return;
    }
    byte[] body = chunks.isEmpty() ? new byte[0] : chunks.get(0);
    exchange.respond(head.status(), headers(head.contentType()), body);
  }

  private void sendCompletion(List<byte[]> chunks) {
    try {
      byte[] body = CompletionAssembler.assemble(chunks);
      exchange.respond(200, headers("application/json"), body);
    } catch (UncheckedIOException e) {
      Problem.of(
              502,
              "malformed answer",
              "the request ran, its answer is not JSON",
              ExecutionStatus.EXECUTED)
          .send(exchange);
    }
  }

  private Map<String, String> headers(String contentType) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("content-type", contentType);
    headers.put("idempotency-key", requestId);
    if (shouldRenewTicket) {
      headers.put(RENEW_HEADER, "1");
    }
    return headers;
  }

  /**
   * Ends the response with a problem. If a stream has already started, the problem is sent as an
   * error event and the connection is closed without the end of the stream, so that it looks
   * complete to no caller.
   */
  public void fail(Problem problem) {
    failure = problem;
    exchange
        .eventLoop()
        .execute(
            () -> {
              if (isEnded) {
                return;
              }
              detach();
              ResponseStream open = stream;
              if (open == null) {
                problem.send(exchange);
                return;
              }
              String error = new String(problem.json(), StandardCharsets.UTF_8);
              open.write(new SseEvent("", "{\"error\":" + error + "}").bytes());
              open.abort();
            });
  }

  /** Stops writing because the caller has disconnected. */
  public void stop() {
    exchange.eventLoop().execute(this::detach);
  }

  private void detach() {
    isEnded = true;
    buffer.removeReader(this);
  }
}
