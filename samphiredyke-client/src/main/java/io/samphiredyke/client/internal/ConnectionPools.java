package io.samphiredyke.client.internal;

import io.netty.channel.EventLoopGroup;
import io.samphiredyke.client.ClientOptions;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpClientOptions;
import java.time.Duration;

/**
 * The HTTP clients of a client, with and without connection reuse.
 *
 * @param pooled for first attempts; reuses idle connections
 * @param unpooled for resumed requests and address lookups; opens a new connection for each,
 *     because an idle connection may be dead
 */
public record ConnectionPools(HttpClient pooled, HttpClient unpooled) {

  private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;
  private static final Duration MAX_READ_TIME = Duration.ofSeconds(30);
  private static final int MAX_IDLE_PER_ADDRESS = 64;
  private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(5);

  /** Creates both HTTP clients. */
  public static ConnectionPools create(EventLoopGroup group, ClientOptions options) {
    return new ConnectionPools(
        client(group, options, MAX_IDLE_PER_ADDRESS), client(group, options, 0));
  }

  private static HttpClient client(EventLoopGroup group, ClientOptions options, int maxIdle) {
    return new HttpClient(
        group,
        new HttpClientOptions(
            options.connectTimeout(), MAX_BODY_BYTES, MAX_READ_TIME, maxIdle, MAX_IDLE_TIME, null));
  }

  /** Closes the idle connections. */
  public void close() {
    pooled.close();
    unpooled.close();
  }
}
