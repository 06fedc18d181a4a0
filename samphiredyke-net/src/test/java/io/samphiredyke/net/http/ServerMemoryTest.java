package io.samphiredyke.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The memory that requests hold in an {@link HttpServer} is returned on each path. */
@Timeout(30)
class ServerMemoryTest {

  private static final int LIMIT = 200_000;
  private static final int MAX_CONNECTIONS = 50;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final ClientMemory memory = new ClientMemory(LIMIT, (name, bytes, used) -> {});
  private final Queue<HttpExchange> waiting = new ConcurrentLinkedQueue<>();
  private final List<Socket> clients = new ArrayList<>();
  private HttpServer server;

  /** Answers at once, after the body, or when the test does so, as the path says. */
  private void handle(HttpExchange exchange) {
    switch (exchange.path()) {
      case "/wait" -> exchange.body().thenAccept(body -> waiting.add(exchange));
      case "/body" -> exchange.body().thenAccept(body -> exchange.respond(200, Map.of(), body));
      default -> exchange.respond(200, Map.of(), new byte[0]);
    }
  }

  private void start(Duration requestTimeout) {
    HttpServerOptions options =
        HttpServerOptions.defaults()
            .withMemory(memory)
            .withMaxConnections(MAX_CONNECTIONS, (stage, open) -> {})
            .withRequestTimeout(requestTimeout);
    server =
        HttpServer.start(loop, new InetSocketAddress("127.0.0.1", 0), options, this::handle).join();
  }

  @AfterEach
  void stop() throws IOException {
    for (Socket client : clients) {
      client.close();
    }
    server.stop().join();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private Socket send(String text) throws IOException {
    Socket client = new Socket(server.address().getAddress(), server.address().getPort());
    client.setSoTimeout(10_000);
    clients.add(client);
    client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    return client;
  }

  private void awaitUsed(boolean isUsed) throws Exception {
    while (loop.submit(() -> memory.used() > 0 != isUsed).get()) {
      Thread.sleep(2);
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET /x HTTP/1.1\r\nHost: ",
        "POST /body HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc",
        "POST /body HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\na: b\r\n",
        "POST /wait HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
        "POST /wait HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /y HTTP/1.1\r\n\r\nGET /z"
      })
  void memoryIsReturnedOnEachPath(String text) throws Exception {
    start(Duration.ofMillis(300));
    send(text).close();
    awaitUsed(false);
    Socket reset = send(text);
    awaitUsed(true);
    reset.setSoLinger(true, 0);
    reset.close();
    awaitUsed(false);
    send(text);
    awaitUsed(true);
    while (loop.submit(() -> memory.used() > 0).get()) {
      HttpExchange held = waiting.poll();
      if (held != null) {
        held.respond(200, Map.of("connection", "close"), new byte[0]);
        clients.get(clients.size() - 1).shutdownOutput();
      }
      Thread.sleep(2);
    }
    send(text);
    awaitUsed(true);
    server.stop().join();
    awaitUsed(false);
  }

  private Socket sendWaiting(int bodyBytes, String behind) throws Exception {
    int before = waiting.size();
    String head = "POST /wait HTTP/1.1\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
    Socket client = send(head + "x".repeat(bodyBytes) + behind);
    while (waiting.size() == before) {
      Thread.sleep(2);
    }
    return client;
  }

  /** Guards against the loss of a request that is handled, when bytes behind it give way. */
  @Test
  void responseUnderWayIsCompletedWhenBytesBehindItGiveWay() throws Exception {
    start(Duration.ofSeconds(20));
    Socket client = sendWaiting(3, "GET /x HTTP/1.1\r\n" + "a: b\r\n".repeat(2_000));
    while (loop.submit(() -> memory.used() < 12_000).get()) {
      Thread.sleep(2);
    }
    for (int i = 0; i < 2; i++) {
      sendWaiting(60_000, "");
    }
    while (loop.submit(() -> memory.reclaimed() == 0).get()) {
      sendWaiting(5_000, "");
    }
    waiting.remove().respond(200, Map.of(), new byte[0]);
    byte[] response = client.getInputStream().readAllBytes();
    assertThat(new String(response, StandardCharsets.US_ASCII))
        .startsWith("HTTP/1.1 200")
        .contains("connection: close");
    assertThat(loop.submit(memory::reclaimed).get()).isOne();
  }

  @Test
  void pipelinedRequestsAreAnsweredInTurn() throws Exception {
    start(Duration.ofSeconds(5));
    String request = "POST /body HTTP/1.1\r\nContent-Length: 1\r\n\r\n";
    Socket client =
        send(request + "a" + request + "b" + "GET /x HTTP/1.1\r\nConnection: close\r\n\r\n");
    String responses =
        new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    assertThat(responses.split("HTTP/1.1 200 OK")).hasSize(4);
    awaitUsed(false);
  }

  /** Guards against unfinished bodies that keep ordinary requests out. */
  @Test
  void ordinaryRequestsAreAnsweredBesideUnfinishedOnes() throws Exception {
    start(Duration.ofSeconds(20));
    for (int i = 0; i < 2 * MAX_CONNECTIONS; i++) {
      send("POST /body HTTP/1.1\r\nContent-Length: 90000\r\n\r\n" + "x".repeat(30_000));
    }
    Socket client = send("GET /x HTTP/1.1\r\n\r\n");
    byte[] status = client.getInputStream().readNBytes("HTTP/1.1 200".length());
    assertThat(status).asString().isEqualTo("HTTP/1.1 200");
    assertThat(loop.submit(memory::used).get()).isLessThanOrEqualTo(LIMIT);
  }
}
