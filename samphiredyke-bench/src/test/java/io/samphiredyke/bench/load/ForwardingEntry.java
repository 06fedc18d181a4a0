package io.samphiredyke.bench.load;

import io.netty.channel.EventLoopGroup;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpClientOptions;
import io.samphiredyke.net.http.HttpExchange;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpServer;
import io.samphiredyke.net.http.HttpServerOptions;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/** Entry that forwards each request to an engine or a plain service and can inject faults. */
final class ForwardingEntry implements AutoCloseable {

  private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

  private final HttpServer server;
  private final HttpClient client;
  private final InetSocketAddress engine;
  private final InetSocketAddress plain;
  private final AtomicInteger tickets = new AtomicInteger();
  private volatile boolean sendsTwice;
  private volatile boolean reportsNotRunAfterDispatch;

  ForwardingEntry(EventLoopGroup group, InetSocketAddress engine, InetSocketAddress plain) {
    this.engine = engine;
    this.plain = plain;
    client = new HttpClient(group, HttpClientOptions.defaults().withConnectionReuse());
    server = HttpServer.start(group, ANY_PORT, HttpServerOptions.defaults(), this::handle).join();
  }

  String address() {
    return "127.0.0.1:" + server.address().getPort();
  }

  void sendTwice() {
    sendsTwice = true;
  }

  void reportNotRunAfterDispatch() {
    reportsNotRunAfterDispatch = true;
  }

  private void handle(HttpExchange exchange) {
    if (exchange.path().equals("/v1/addresses")) {
      String ticket = "t" + tickets.incrementAndGet();
      exchange.respondJson(
          200, Map.of("addresses", List.of(address()), "ticket", ticket, "expiresInSeconds", 60));
      return;
    }
    boolean isChat = exchange.path().equals("/v1/chat/completions");
    exchange.body().thenAccept(body -> forward(exchange, isChat ? engine : plain, body));
  }

  private void forward(HttpExchange exchange, InetSocketAddress target, byte[] body) {
    String id = String.valueOf(exchange.header("idempotency-key"));
    HttpRequest request =
        HttpRequest.post(target, exchange.path(), body).header("idempotency-key", id).build();
    CompletableFuture<?> firstSend =
        sendsTwice ? client.send(request) : CompletableFuture.completedFuture(null);
    firstSend
        .thenCompose(ignored -> client.send(request))
        .thenAccept(
            response -> {
              if (reportsNotRunAfterDispatch) {
                exchange.respond(
                    422,
                    Map.of("content-type", "application/problem+json", "idempotency-key", id),
                    "{\"ran\":\"no\"}".getBytes(java.nio.charset.StandardCharsets.UTF_8));
                return;
              }
              String type = response.headers().getOrDefault("content-type", "");
              exchange.respond(
                  response.status(),
                  Map.of("content-type", type, "idempotency-key", id),
                  response.body());
            });
  }

  @Override
  public void close() {
    client.close();
    server.stop().join();
  }
}
