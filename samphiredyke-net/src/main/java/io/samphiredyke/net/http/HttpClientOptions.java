package io.samphiredyke.net.http;

import io.netty.handler.ssl.SslContext;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Limits of an HTTP client.
 *
 * @param connectTimeout how long a connection may take to be established
 * @param maxBodyBytes the longest whole answer, in bytes
 * @param maxIdlePerAddress how many idle connections to keep for each address
 * @param maxIdleTime how long an idle connection is kept; a connection that stayed idle for longer
 *     may have been forgotten by something between its ends
 * @param tls the TLS settings, or null for plain TCP
 */
public record HttpClientOptions(
    Duration connectTimeout,
    int maxBodyBytes,
    int maxIdlePerAddress,
    Duration maxIdleTime,
    @Nullable SslContext tls) {

  private static final int DEFAULT_BODY_BYTES = 64 * 1024 * 1024;
  private static final int DEFAULT_IDLE = 32;

  /** Returns usual limits without TLS. */
  public static HttpClientOptions defaults() {
    return new HttpClientOptions(
        Duration.ofSeconds(1), DEFAULT_BODY_BYTES, DEFAULT_IDLE, Duration.ofSeconds(10), null);
  }

  /**
   * Returns the same limits with a new connection for each request.
   *
   * <p>A request that must not be sent twice needs this: on a kept connection that the other end
   * has forgotten, it could not be known whether the request arrived.
   */
  public HttpClientOptions withoutConnectionReuse() {
    return new HttpClientOptions(connectTimeout, maxBodyBytes, 0, maxIdleTime, tls);
  }

  /** Returns the same limits with TLS. */
  public HttpClientOptions withTls(SslContext context) {
    return new HttpClientOptions(
        connectTimeout, maxBodyBytes, maxIdlePerAddress, maxIdleTime, context);
  }
}
