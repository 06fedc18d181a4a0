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
 * Delivers one answer to one caller, from a part on, as fast as the caller reads.
 *
 * <p>State is touched on the event loop of the caller's connection only.
 */
public final class ResponseWriter implements ResponseBuffer.Reader {

  /** Header of an answer whose ticket names a host that is leaving or gone. */
  private static final String RENEW_HEADER = "samphiredyke-renew-ticket";

  private final HttpExchange exchange;
  private final ResponseBuffer buffer;
  private final String requestId;
  private final boolean wantsStream;
  private final boolean renewsTicket;
  private long delivered;
  private volatile long deliveredBytes;
  private @Nullable ResponseStream stream;
  private boolean ended;

  /**
   * Creates a delivery.
   *
   * @param afterPart the last part that the caller has
   * @param wantsStream whether the caller asked for server-sent events
   * @param renewsTicket whether the caller should ask for a new ticket before its next request
   */
  public ResponseWriter(
      HttpExchange exchange,
      ResponseBuffer buffer,
      String requestId,
      long afterPart,
      boolean wantsStream,
      boolean renewsTicket) {
    this.exchange = exchange;
    this.buffer = buffer;
    this.requestId = requestId;
    this.delivered = afterPart;
    this.wantsStream = wantsStream;
    this.renewsTicket = renewsTicket;
    this.deliveredBytes = wantsStream ? buffer.bytesUpTo(afterPart) : Long.MAX_VALUE;
  }

  /** Starts to deliver. */
  public void start() {
    buffer.addReader(this);
    onChange();
  }

  @Override
  public void onChange() {
    exchange.eventLoop().execute(this::pump);
  }

  @Override
  public long readBytes() {
    return deliveredBytes;
  }

  private void pump() {
    ResponseHead head = buffer.head();
    if (ended || head == null) {
      return;
    }
    if (buffer.isDropped()) {
      cutOff();
      return;
    }
    if (wantsStream && head.isStream()) {
      pumpEvents();
    } else if (buffer.isComplete()) {
      sendWhole(head);
    }
  }

  /** The parts are gone: the caller resumes with its id, which fetches them again. */
  private void cutOff() {
    finish();
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

  private void pumpEvents() {
    ResponseStream open = stream;
    if (open == null) {
      open = exchange.startStream(200, headers("text/event-stream"));
      stream = open;
    }
    boolean complete = buffer.isComplete();
    while (open.isWritable()) {
      byte[] part = buffer.part(delivered + 1);
      if (part == null && buffer.isDropped()) {
        cutOff();
        return;
      }
      if (part == null) {
        buffer.readerAdvanced();
        endIf(complete, open);
        return;
      }
      delivered++;
      deliveredBytes += part.length;
      open.write(part);
    }
    buffer.readerAdvanced();
    open.whenWritable(this::pump);
  }

  private void endIf(boolean complete, ResponseStream open) {
    if (complete) {
      finish();
      open.end();
    }
  }

  private void sendWhole(ResponseHead head) {
    List<byte[]> parts = buffer.whole();
    if (parts == null) {
      cutOff();
      return;
    }
    finish();
    if (head.isStream()) {
      sendCompletion(parts);
      return;
    }
    byte[] body = parts.isEmpty() ? new byte[0] : parts.get(0);
    exchange.respond(head.status(), headers(head.contentType()), body);
  }

  private void sendCompletion(List<byte[]> parts) {
    try {
      byte[] body = CompletionAssembler.assemble(parts);
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
    if (renewsTicket) {
      headers.put(RENEW_HEADER, "1");
    }
    return headers;
  }

  /** Ends the delivery with a problem; an answer that has begun is cut after an error event. */
  public void fail(Problem problem) {
    exchange
        .eventLoop()
        .execute(
            () -> {
              if (ended) {
                return;
              }
              finish();
              ResponseStream open = stream;
              if (open == null) {
                problem.send(exchange);
                return;
              }
              String error = new String(problem.json(), StandardCharsets.UTF_8);
              open.write(new SseEvent("", "{\"error\":" + error + "}").bytes());
              open.end();
            });
  }

  /** Stops the delivery because the caller is gone. */
  public void stop() {
    exchange.eventLoop().execute(this::finish);
  }

  private void finish() {
    ended = true;
    buffer.removeReader(this);
  }
}
