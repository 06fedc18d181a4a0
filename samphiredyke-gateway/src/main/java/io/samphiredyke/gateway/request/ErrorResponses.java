package io.samphiredyke.gateway.request;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.samphiredyke.core.pool.SlotRefusal;
import io.samphiredyke.gateway.frontend.ResponseWriter;
import io.samphiredyke.net.codec.Json;
import java.util.Locale;
import java.util.Map;

/** Error responses of this host, as problem documents. */
final class ErrorResponses {

  static final int NO_CONTENT = 204;
  static final int NOT_MODIFIED = 304;
  static final int UNAUTHORIZED = 401;
  static final int NOT_FOUND = 404;
  static final int REQUEST_TIMEOUT = 408;
  static final int MISDIRECTED = 421;
  static final int TOO_MANY_REQUESTS = 429;
  static final int INTERNAL_SERVER_ERROR = 500;
  static final int BAD_GATEWAY = 502;
  static final int SERVICE_UNAVAILABLE = 503;
  static final int GATEWAY_TIMEOUT = 504;

  private static final double MILLIS_PER_SECOND = 1_000.0;

  private ErrorResponses() {}

  /** Returns the status of the response to a request that gets no slot. */
  static int statusOf(SlotRefusal refusal) {
    return refusal.reason() == SlotRefusal.Reason.OVER_QUOTA
        ? TOO_MANY_REQUESTS
        : SERVICE_UNAVAILABLE;
  }

  /**
   * Returns whether a status tells callers that the request did not run. It may be relayed only if
   * the endpoint states explicitly that it did not run the request.
   */
  static boolean implyNotRun(int status) {
    return status == TOO_MANY_REQUESTS
        || status == SERVICE_UNAVAILABLE
        || status == REQUEST_TIMEOUT
        || status == MISDIRECTED;
  }

  /**
   * Sends an error response.
   *
   * @param mayHaveRun whether an endpoint may have run the request
   * @param retryAfterMillis delay for the Retry-After header, or -1 to omit it
   */
  static void send(
      ResponseWriter writer, int status, String reason, boolean mayHaveRun, long retryAfterMillis) {
    HttpHeaders headers = new DefaultHttpHeaders(false);
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
    if (retryAfterMillis >= 0) {
      String seconds = String.format(Locale.ROOT, "%.3f", retryAfterMillis / MILLIS_PER_SECOND);
      headers.set(HttpHeaderNames.RETRY_AFTER, seconds);
    }
    byte[] body =
        Json.bytes(Map.of("status", status, "title", reason, "ran", mayHaveRun ? "maybe" : "no"));
    writer.send(status, headers, Unpooled.wrappedBuffer(body));
  }
}
