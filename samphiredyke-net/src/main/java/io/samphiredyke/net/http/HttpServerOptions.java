package io.samphiredyke.net.http;

import io.netty.handler.ssl.SslContext;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Limits of an HTTP server.
 *
 * @param maxHeaderBytes the longest head of a request, in bytes
 * @param maxBodyBytes the longest body of a request, in bytes
 * @param requestTimeout how long a request's head and body may take to arrive
 * @param idleTimeout how long a connection may stay without a request, and how long an answer may
 *     wait for a caller that reads nothing of it
 * @param tls the TLS settings, or null for plain TCP
 */
public record HttpServerOptions(
    int maxHeaderBytes,
    int maxBodyBytes,
    Duration requestTimeout,
    Duration idleTimeout,
    @Nullable SslContext tls) {

  private static final int DEFAULT_HEADER_BYTES = 16 * 1024;
  private static final int DEFAULT_BODY_BYTES = 8 * 1024 * 1024;

  /** Returns usual limits without TLS. */
  public static HttpServerOptions defaults() {
    return new HttpServerOptions(
        DEFAULT_HEADER_BYTES,
        DEFAULT_BODY_BYTES,
        Duration.ofSeconds(30),
        Duration.ofMinutes(5),
        null);
  }

  /** Returns the same limits with TLS. */
  public HttpServerOptions withTls(SslContext context) {
    return new HttpServerOptions(
        maxHeaderBytes, maxBodyBytes, requestTimeout, idleTimeout, context);
  }

  /** Returns the same limits with another time after which an unused connection is closed. */
  public HttpServerOptions withIdleTimeout(Duration timeout) {
    return new HttpServerOptions(maxHeaderBytes, maxBodyBytes, requestTimeout, timeout, tls);
  }

  /** Returns the same limits with another time for a request to arrive. */
  public HttpServerOptions withRequestTimeout(Duration timeout) {
    return new HttpServerOptions(maxHeaderBytes, maxBodyBytes, timeout, idleTimeout, tls);
  }

  /** Returns the same limits with another longest body, in bytes. */
  public HttpServerOptions withMaxBodyBytes(int bytes) {
    return new HttpServerOptions(maxHeaderBytes, bytes, requestTimeout, idleTimeout, tls);
  }
}
