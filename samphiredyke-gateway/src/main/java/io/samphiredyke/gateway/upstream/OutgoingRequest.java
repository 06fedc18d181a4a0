package io.samphiredyke.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.function.Supplier;

/**
 * A request to an endpoint.
 *
 * @param requestId id that identifies its response
 * @param method HTTP method
 * @param uri path and query as the caller sent them
 * @param headers creates the headers, without connection-specific ones; only bytes are kept until
 *     the request is sent
 * @param body complete body; the exchange retains its own reference
 * @param expectsEvents whether a success is a stream of events, which are checked one by one
 */
public record OutgoingRequest(
    String requestId,
    HttpMethod method,
    String uri,
    Supplier<HttpHeaders> headers,
    ByteBuf body,
    boolean expectsEvents) {

  /** Creates a request for a response that is no stream of events. */
  public OutgoingRequest(
      String requestId, HttpMethod method, String uri, HttpHeaders headers, ByteBuf body) {
    this(requestId, method, uri, () -> headers, body, false);
  }
}
