package io.samphiredyke.daemon.answer;

import io.samphiredyke.net.http.HttpExchange;
import io.samphiredyke.net.http.ResponseStream;
import io.samphiredyke.net.sse.SseEvent;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Delivers one answer to one caller, from a part on, as fast as the caller reads.
 *
 * <p>State is touched on the event loop of the caller's connection only.
 */
public final class CallerStream implements AnswerBuffer.Reader {

  private final HttpExchange exchange;
  private final AnswerBuffer buffer;
  private final String requestId;
  private final boolean wantsStream;
  private long delivered;
  private @Nullable ResponseStream stream;
  private boolean ended;

  /**
   * Creates a delivery.
   *
   * @param afterPart the last part that the caller has
   * @param wantsStream whether the caller asked for server-sent events
   */
  public CallerStream(
      HttpExchange exchange,
      AnswerBuffer buffer,
      String requestId,
      long afterPart,
      boolean wantsStream) {
    this.exchange = exchange;
    this.buffer = buffer;
    this.requestId = requestId;
    this.delivered = afterPart;
    this.wantsStream = wantsStream;
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

  private void pump() {
    AnswerHead head = buffer.head();
    if (ended || head == null) {
      return;
    }
    if (wantsStream && head.isStream()) {
      pumpEvents();
    } else if (buffer.isComplete()) {
      sendWhole(head);
    }
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
      if (part == null) {
        endIf(complete, open);
        return;
      }
      delivered++;
      open.write(part);
    }
    open.whenWritable(this::pump);
  }

  private void endIf(boolean complete, ResponseStream open) {
    if (complete) {
      finish();
      open.end();
    }
  }

  private void sendWhole(AnswerHead head) {
    finish();
    if (head.isStream()) {
      byte[] body = CompletionAssembler.assemble(buffer);
      exchange.respond(200, headers("application/json"), body);
      return;
    }
    byte[] body = buffer.part(1);
    exchange.respond(head.status(), headers(head.contentType()), body == null ? new byte[0] : body);
  }

  private Map<String, String> headers(String contentType) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("content-type", contentType);
    headers.put("idempotency-key", requestId);
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
