package io.samphiredyke.net.http;

import io.netty.handler.ssl.SslContext;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Options of an HTTP client.
 *
 * @param connectTimeout the timeout for establishing a connection
 * @param maxBodyBytes the longest body of a response that is collected as a whole, in bytes
 * @param maxIdlePerAddress the number of idle connections to keep for each address, 0 for one
 *     request on each connection
 * @param maxIdleTime how long an idle connection may be reused; a firewall or a load balancer may
 *     have dropped the state of a connection that was idle for longer
 * @param tls the TLS settings, or null for plain TCP
 */
public record HttpClientOptions(
    Duration connectTimeout,
    int maxBodyBytes,
    int maxIdlePerAddress,
    Duration maxIdleTime,
    @Nullable SslContext tls) {

  private static final int DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024;
  private static final int DEFAULT_MAX_IDLE_PER_ADDRESS = 32;

  /** Returns the default options: a new connection for each request, without TLS. */
  public static HttpClientOptions defaults() {
    return new HttpClientOptions(
        Duration.ofSeconds(1), DEFAULT_MAX_BODY_BYTES, 0, Duration.ofSeconds(10), null);
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
        connectTimeout, maxBodyBytes, DEFAULT_MAX_IDLE_PER_ADDRESS, maxIdleTime, tls);
  }

  /** Returns a copy that uses TLS. */
  public HttpClientOptions withTls(SslContext context) {
    return new HttpClientOptions(
        connectTimeout, maxBodyBytes, maxIdlePerAddress, maxIdleTime, context);
  }
}
