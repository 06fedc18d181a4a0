package io.samphiredyke.net.http;

import io.netty.handler.ssl.SslContext;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Options of an HTTP server.
 *
 * @param maxHeaderBytes the longest request head, in bytes
 * @param maxBodyBytes the longest request body, in bytes
 * @param requestTimeout the timeout for receiving the head and the body of a request
 * @param idleTimeout how long a connection may be open without a request, and how long a response
 *     may be blocked because the caller does not read
 * @param tls the TLS settings, or null for plain TCP
 * @param memory memory of the clients, shared with other servers on one event loop, or null for a
 *     part of the heap for each event loop
 * @param maxConnections connections that may be open at once on each event loop
 * @param displaced receives the connections that are closed in favour of others
 */
public record HttpServerOptions(
    int maxHeaderBytes,
    int maxBodyBytes,
    Duration requestTimeout,
    Duration idleTimeout,
    @Nullable SslContext tls,
    @Nullable ClientMemory memory,
    int maxConnections,
    ConnectionLimit.Listener displaced) {

  private static final int DEFAULT_MAX_HEADER_BYTES = 16 * 1024;
  private static final int DEFAULT_MAX_BODY_BYTES = 8 * 1024 * 1024;

  /** Returns the default options without TLS. */
  public static HttpServerOptions defaults() {
    return new HttpServerOptions(
        DEFAULT_MAX_HEADER_BYTES,
        DEFAULT_MAX_BODY_BYTES,
        Duration.ofSeconds(30),
        Duration.ofMinutes(5),
        null,
        null,
        Integer.MAX_VALUE,
        (stage, open) -> {});
  }

  /** Returns a copy that uses TLS. */
  public HttpServerOptions withTls(SslContext context) {
    return new HttpServerOptions(
        maxHeaderBytes,
        maxBodyBytes,
        requestTimeout,
        idleTimeout,
        context,
        memory,
        maxConnections,
        displaced);
  }

  /** Returns a copy whose clients share a memory with those of other servers. */
  public HttpServerOptions withMemory(ClientMemory shared) {
    return new HttpServerOptions(
        maxHeaderBytes,
        maxBodyBytes,
        requestTimeout,
        idleTimeout,
        tls,
        shared,
        maxConnections,
        displaced);
  }

  /** Returns a copy with a limit on the open connections of each event loop. */
  public HttpServerOptions withMaxConnections(int connections, ConnectionLimit.Listener listener) {
    return new HttpServerOptions(
        maxHeaderBytes,
        maxBodyBytes,
        requestTimeout,
        idleTimeout,
        tls,
        memory,
        connections,
        listener);
  }

  /** Returns a copy with another idle timeout. */
  public HttpServerOptions withIdleTimeout(Duration timeout) {
    return new HttpServerOptions(
        maxHeaderBytes,
        maxBodyBytes,
        requestTimeout,
        timeout,
        tls,
        memory,
        maxConnections,
        displaced);
  }

  /** Returns a copy with another request timeout. */
  public HttpServerOptions withRequestTimeout(Duration timeout) {
    return new HttpServerOptions(
        maxHeaderBytes, maxBodyBytes, timeout, idleTimeout, tls, memory, maxConnections, displaced);
  }

  /** Returns a copy with another limit for request bodies, in bytes. */
  public HttpServerOptions withMaxBodyBytes(int bytes) {
    return new HttpServerOptions(
        maxHeaderBytes, bytes, requestTimeout, idleTimeout, tls, memory, maxConnections, displaced);
  }
}
