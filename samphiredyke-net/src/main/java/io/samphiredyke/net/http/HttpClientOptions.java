package io.samphiredyke.net.http;

import io.netty.handler.ssl.SslContext;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Options of an HTTP client.
 *
 * @param connectTimeout the timeout for establishing a connection
 * @param maxBodyBytes the longest body of a response that is collected as a whole, in bytes
 * @param maxIdlePerAddress the number of idle connections to keep for each address
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

  /** Returns the default options without TLS. */
  public static HttpClientOptions defaults() {
    return new HttpClientOptions(
        Duration.ofSeconds(1),
        DEFAULT_MAX_BODY_BYTES,
        DEFAULT_MAX_IDLE_PER_ADDRESS,
        Duration.ofSeconds(10),
        null);
  }

  /**
   * Returns a copy that opens a new connection for each request.
   *
   * <p>Use this for requests that must not be sent twice. If the other end has dropped an idle
   * connection, the client cannot tell whether a request on that connection arrived.
   */
  public HttpClientOptions withoutConnectionReuse() {
    return new HttpClientOptions(connectTimeout, maxBodyBytes, 0, maxIdleTime, tls);
  }

  /** Returns a copy that uses TLS. */
  public HttpClientOptions withTls(SslContext context) {
    return new HttpClientOptions(
        connectTimeout, maxBodyBytes, maxIdlePerAddress, maxIdleTime, context);
  }
}
