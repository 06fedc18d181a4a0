package io.samphiredyke.net.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests {@link HttpServer} and {@link HttpClient} against each other. */
class HttpServerTest {

  private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final HttpClient client =
      new HttpClient(group, HttpClientOptions.defaults().withConnectionReuse());

  @AfterEach
  void stop() {
    client.close();
    group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
  }

  private HttpServer serve(HttpHandler handler) {
    HttpServerOptions options = HttpServerOptions.defaults().withMaxBodyBytes(1000);
    return HttpServer.start(group, ANY_PORT, options, handler).join();
  }

  @Test
  void sendsNothingIfClosedBeforeTheConnectionIsEstablished() throws InterruptedException {
    AtomicInteger requests = new AtomicInteger();
    HttpServer server =
        serve(
            exchange -> {
              requests.incrementAndGet();
              exchange.respond(200, Map.of(), new byte[0]);
            });
    EventLoopGroup single = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    CountDownLatch blocked = new CountDownLatch(1);
    single.execute(() -> awaitQuietly(blocked));
    HttpClient blockedClient =
        new HttpClient(single, HttpClientOptions.defaults().withConnectionReuse());
    HttpStream stream =
        blockedClient.open(HttpRequest.get(server.address(), "/").build(), new IgnoringListener());
    assertThat(stream.close()).isTrue();
    blocked.countDown();
    blockedClient.send(HttpRequest.get(server.address(), "/").build()).join();
    assertThat(requests).hasValue(1);
    server.stop().join();
    single.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void echoesRequestBodies() {
    HttpServer server =
        serve(exchange -> exchange.body().thenAccept(b -> exchange.respond(200, Map.of(), b)));
    for (int i = 0; i < 50; i++) {
      byte[] body = ("body " + i).getBytes(StandardCharsets.UTF_8);
      HttpResponse response =
          client.send(HttpRequest.post(server.address(), "/echo", body).build()).join();
      assertThat(response.text()).isEqualTo("body " + i);
    }
    server.stop().join();
  }

  @Test
  void reusesTheConnectionForRequestsWithoutBody() {
    Set<Long> connections = ConcurrentHashMap.newKeySet();
    HttpServer server =
        serve(
            exchange -> {
              connections.add(exchange.connectionNumber());
              exchange.respond(200, Map.of(), new byte[0]);
            });
    for (int i = 0; i < 50; i++) {
      client.send(HttpRequest.get(server.address(), "/").build()).join();
    }
    assertThat(connections).hasSize(1);
    server.stop().join();
  }

  @Test
  void closesTheConnectionAfterResponseBeforeTheBody() {
    HttpServer server = serve(exchange -> exchange.respond(421, Map.of(), new byte[0]));
    for (int i = 0; i < 50; i++) {
      HttpRequest request = HttpRequest.post(server.address(), "/", new byte[500]).build();
      HttpResponse response = client.send(request).join();
      assertThat(response.status()).isEqualTo(421);
      assertThat(response.headers()).containsEntry("connection", "close");
    }
    server.stop().join();
  }

  @Test
  void streamsChunksInOrder() {
    HttpServer server =
        serve(
            exchange -> {
              ResponseStream stream = exchange.startStream(200, Map.of());
              for (int i = 0; i < 100; i++) {
                stream.write((i + ",").getBytes(StandardCharsets.UTF_8));
              }
              stream.end();
            });
    HttpResponse response = client.send(HttpRequest.get(server.address(), "/").build()).join();
    assertThat(response.text()).startsWith("0,1,2,").endsWith("98,99,");
    server.stop().join();
  }

  @Test
  void rejectsLongBodies() {
    HttpServer server =
        serve(
            exchange ->
                exchange
                    .body()
                    .whenComplete(
                        (bytes, failure) ->
                            exchange.respond(
                                ((HttpException) failure).status(), Map.of(), new byte[0])));
    HttpRequest request = HttpRequest.post(server.address(), "/", new byte[5000]).build();
    assertThat(client.send(request).join().status()).isEqualTo(413);
    server.stop().join();
  }

  @Test
  void reportsConnectFailure() {
    HttpServer server = serve(exchange -> {});
    InetSocketAddress address = server.address();
    server.stop().join();
    CompletableFuture<HttpResponse> response = client.send(HttpRequest.get(address, "/").build());
    assertThatThrownBy(response::join).hasCauseInstanceOf(ConnectFailedException.class);
  }

  /**
   * Guards against a stop that completes while the operating system still accepts connections: the
   * socket is closed at the next selection of its event loop, which is busy here.
   */
  @Test
  void stopCompletesWhenConnectionsAreRefused() {
    EventLoopGroup single = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    HttpServer server =
        HttpServer.start(single, ANY_PORT, HttpServerOptions.defaults(), exchange -> {}).join();
    InetSocketAddress address = server.address();
    CompletableFuture<Boolean> acceptedAfterStop = new CompletableFuture<>();
    single.execute(
        () -> {
          CompletableFuture<Void> stopped = server.stop();
          awaitGlobalExecutor();
          acceptedAfterStop.complete(stopped.isDone() && accepts(address));
        });
    assertThat(acceptedAfterStop.join()).isFalse();
    server.stop().join();
    assertThat(accepts(address)).isFalse();
    single.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
  }

  /**
   * Guards against a stop that completes in the same turn of the event loop: a task that another
   * thread schedules for a time that has passed runs at once, before the next selection.
   */
  @Test
  void stopDoesNotCompleteBeforeTheNextSelection() {
    EventLoopGroup single = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    HttpServer server =
        HttpServer.start(single, ANY_PORT, HttpServerOptions.defaults(), exchange -> {}).join();
    InetSocketAddress address = server.address();
    CompletableFuture<Boolean> acceptedAfterStop = new CompletableFuture<>();
    single.execute(
        () -> {
          CompletableFuture<Void> stopped = server.stop();
          awaitGlobalExecutor();
          single.execute(() -> acceptedAfterStop.complete(stopped.isDone() && accepts(address)));
        });
    assertThat(acceptedAfterStop.join()).isFalse();
    single.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
  }

  /**
   * Guards against connections that outlive their event loop: a loop that runs a task when its
   * shutdown begins ends after its tasks, without closing channels. Whether tasks that are
   * scheduled meanwhile still run is a matter of chance, hence the repetitions.
   */
  @RepeatedTest(20)
  void stopClosesConnectionsOfAnEventLoopThatIsShutDown() {
    EventLoopGroup single = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    CompletableFuture<Void> arrived = new CompletableFuture<>();
    HttpServer server =
        HttpServer.start(
                single, ANY_PORT, HttpServerOptions.defaults(), exchange -> arrived.complete(null))
            .join();
    // Longer than the test waits, so that only the server's close can end the request.
    HttpRequest request =
        HttpRequest.get(server.address(), "/").timeout(Duration.ofMinutes(1)).build();
    CompletableFuture<HttpResponse> response = client.send(request);
    arrived.join();
    CountDownLatch busy = new CountDownLatch(1);
    single.execute(() -> awaitQuietly(busy));
    server.stop();
    single.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
    busy.countDown();
    assertThat(response)
        .failsWithin(Duration.ofSeconds(10))
        .withThrowableThat()
        .withCauseInstanceOf(ConnectionLostException.class);
  }

  /** Waits until the listeners that this thread's last action notifies there have run. */
  private static void awaitGlobalExecutor() {
    for (int i = 0; i < 3; i++) {
      GlobalEventExecutor.INSTANCE.submit(() -> {}).syncUninterruptibly();
    }
  }

  private static boolean accepts(InetSocketAddress address) {
    try (Socket socket = new Socket()) {
      socket.connect(address);
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  @Test
  void reportsLostConnectionAfterInactivity() {
    HttpServer server = serve(exchange -> {});
    CompletableFuture<HttpResponse> response =
        client.send(HttpRequest.get(server.address(), "/").timeout(Duration.ofMillis(50)).build());
    assertThatThrownBy(response::join).hasCauseInstanceOf(ConnectionLostException.class);
    server.stop().join();
  }

  @Test
  void detectsThatTheCallerDisconnected() {
    CompletableFuture<Void> disconnected = new CompletableFuture<>();
    CompletableFuture<Void> arrived = new CompletableFuture<>();
    HttpServer server =
        serve(
            exchange -> {
              exchange.disconnected().thenRun(() -> disconnected.complete(null));
              arrived.complete(null);
            });
    HttpStream stream =
        client.open(HttpRequest.get(server.address(), "/").build(), new IgnoringListener());
    arrived.join();
    stream.close();
    assertThat(disconnected).succeedsWithin(Duration.ofSeconds(10));
    server.stop().join();
  }

  @Test
  void streamOfClosedConnectionIsWritable() {
    CompletableFuture<Boolean> isWritable = new CompletableFuture<>();
    CompletableFuture<Void> arrived = new CompletableFuture<>();
    HttpServer server =
        serve(
            exchange -> {
              ResponseStream stream = exchange.startStream(200, Map.of());
              exchange
                  .disconnected()
                  .thenRun(
                      () -> stream.whenWritable(() -> isWritable.complete(stream.isWritable())));
              arrived.complete(null);
            });
    HttpStream stream =
        client.open(HttpRequest.get(server.address(), "/").build(), new IgnoringListener());
    arrived.join();
    stream.close();
    assertThat(isWritable).succeedsWithin(Duration.ofSeconds(10)).isEqualTo(true);
    server.stop().join();
  }

  private static final class IgnoringListener implements StreamListener {
    @Override
    public void onHeaders(int status, Map<String, String> headers) {}

    @Override
    public void onChunk(byte[] bytes) {}

    @Override
    public void onEnd() {}

    @Override
    public void onFailure(Throwable cause) {}
  }

  /** Guards against a request that is cut off, also within its head, and is handled as whole. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 3\r\n\r\nabc",
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n"
      })
  void requestCutOffAtAnyByteIsNotHandled(String rest) throws IOException {
    String whole = "POST /x HTTP/1.1\r\nHost: a\r\n" + rest;
    AtomicInteger heads = new AtomicInteger();
    AtomicInteger bodies = new AtomicInteger();
    HttpServer server =
        serve(
            exchange -> {
              heads.incrementAndGet();
              exchange.body().thenAccept(body -> bodies.incrementAndGet());
            });
    int headLength = whole.indexOf("\r\n\r\n") + 4;
    for (int length = 1; length < whole.length(); length++) {
      sendAndClose(server.address(), whole.substring(0, length));
      assertThat(bodies).as(whole.substring(0, length)).hasValue(0);
      assertThat(heads).hasValue(Math.max(0, length - headLength + 1));
    }
    server.stop().join();
  }

  /** Sends a text and the end of the connection, and waits until the server has closed it. */
  private static void sendAndClose(InetSocketAddress address, String text) throws IOException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout(5_000);
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      socket.shutdownOutput();
      while (socket.getInputStream().read() >= 0) {
        // Only the end is awaited.
      }
    }
  }
}
