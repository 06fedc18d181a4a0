package io.samphiredyke.standins.server;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpClientOptions;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Test fixture: an event loop, clocks that only move when advanced, and an HTTP client. */
public final class StandInFixture implements AutoCloseable {

  public static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final HttpClient client =
      new HttpClient(group, HttpClientOptions.defaults().withConnectionReuse());
  private final MockTicker ticker = Ticker.newMockTicker();

  public StandInRuntime runtime() {
    Clock clock = Clock.fixed(Instant.ofEpochSecond(1_000), ZoneOffset.UTC);
    return new StandInRuntime(group.next(), ticker, clock);
  }

  public void advance(Duration time) {
    ticker.advance(time.toNanos(), TimeUnit.NANOSECONDS);
  }

  public CompletableFuture<HttpResponse> get(InetSocketAddress address, String path) {
    return client.send(HttpRequest.get(address, path).build());
  }

  public CompletableFuture<HttpResponse> post(InetSocketAddress address, String path, String body) {
    return post(address, path, body, Map.of());
  }

  public CompletableFuture<HttpResponse> post(
      InetSocketAddress address, String path, String body, Map<String, String> headers) {
    HttpRequest.Builder request =
        HttpRequest.post(address, path, body.getBytes(StandardCharsets.UTF_8));
    headers.forEach(request::header);
    return client.send(request.build());
  }

  public HttpClient client() {
    return client;
  }

  /** Returns a client without open connections. */
  public HttpClient newClient() {
    return new HttpClient(group, HttpClientOptions.defaults().withConnectionReuse());
  }

  @Override
  public void close() {
    client.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
