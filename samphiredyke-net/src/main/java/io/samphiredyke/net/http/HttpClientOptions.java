package io.samphiredyke.net.http;

import io.netty.handler.ssl.SslContext;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Options of an HTTP client.
 *
 * @param connectTimeout the timeout for establishing a connection
 * @param maxBodyBytes the most bytes of the bodies that are collected as a whole from one address
 *     at the same time
 * @param maxReadTime how much longer than the timeout of its request a response may take that is
 *     collected as a whole
 * @param maxIdlePerAddress the number of idle connections to keep for each address, 0 for one
 *     request on each connection
 * @param maxIdleTime how long an idle connection may be reused; a firewall or a load balancer may
 *     have dropped the state of a connection that was idle for longer
 * @param tls the TLS settings, or null for plain TCP
 */
public record HttpClientOptions(
    Duration connectTimeout,
    int maxBodyBytes,
    Duration maxReadTime,
    int maxIdlePerAddress,
    Duration maxIdleTime,
    @Nullable SslContext tls) {

  private static final int DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024;
  private static final Duration DEFAULT_MAX_READ_TIME = Duration.ofSeconds(30);
  private static final int DEFAULT_MAX_IDLE_PER_ADDRESS = 32;

  /** Returns the default options: a new connection for each request, without TLS. */
  public static HttpClientOptions defaults() {
    return new HttpClientOptions(
        Duration.ofSeconds(1),
        DEFAULT_MAX_BODY_BYTES,
        DEFAULT_MAX_READ_TIME,
        0,
        Duration.ofSeconds(10),
        null);
  }

  /**
   * Returns a copy that reuses connections.
   *
   * <p>Use this only if a response can be recognized as the one to its request, or if a wrong one
   * does no harm: a server may send a response twice, and the second copy may arrive after the next
   * request was sent. If the other end has dropped an idle connection, the client can't tell
   * whether a request on that connection arrived.
   */
  public HttpClientOptions withConnectionReuse() {
    return new HttpClientOptions(
        connectTimeout, maxBodyBytes, maxReadTime, DEFAULT_MAX_IDLE_PER_ADDRESS, maxIdleTime, tls);
  }

  /** Returns a copy with other limits for responses that are collected as a whole. */
  public HttpClientOptions withBodyLimits(int maxBytes, Duration maxTime) {
    return new HttpClientOptions(
        connectTimeout, maxBytes, maxTime, maxIdlePerAddress, maxIdleTime, tls);
  }

  /** Returns a copy that uses TLS. */
  public HttpClientOptions withTls(SslContext context) {
    return new HttpClientOptions(
        connectTimeout, maxBodyBytes, maxReadTime, maxIdlePerAddress, maxIdleTime, context);
  }
}
