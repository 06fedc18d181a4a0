package io.samphiredyke.gateway.request;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.samphiredyke.gateway.frontend.ResponseWriter;
import io.samphiredyke.net.codec.Json;
import java.util.Locale;
import java.util.Map;

/** Answers that this host makes itself, as problem documents. */
final class ErrorResponses {

  static final int UNAUTHORIZED = 401;
  static final int NOT_FOUND = 404;
  static final int TOO_MANY = 429;
  static final int SERVER_ERROR = 500;
  static final int BAD_GATEWAY = 502;
  static final int UNAVAILABLE = 503;
  static final int GATEWAY_TIMEOUT = 504;

  private static final double MILLIS_PER_SECOND = 1_000.0;

  private ErrorResponses() {}

  /**
   * Sends an answer.
   *
   * @param mayHaveRun whether an endpoint may have run the request
   * @param retryAfterMillis when to come back, or -1 to say nothing of it
   */
  static void send(
      ResponseWriter answer, int status, String reason, boolean mayHaveRun, long retryAfterMillis) {
    HttpHeaders headers = new DefaultHttpHeaders(false);
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
    if (retryAfterMillis >= 0) {
      String seconds = String.format(Locale.ROOT, "%.3f", retryAfterMillis / MILLIS_PER_SECOND);
      headers.set(HttpHeaderNames.RETRY_AFTER, seconds);
    }
    byte[] body =
        Json.bytes(Map.of("status", status, "title", reason, "ran", mayHaveRun ? "maybe" : "no"));
    answer.send(status, headers, Unpooled.wrappedBuffer(body));
  }
}
