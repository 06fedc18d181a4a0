package io.samphiredyke.client;

import io.netty.channel.EventLoopGroup;
import io.samphiredyke.net.http.HttpExchange;
import io.samphiredyke.net.http.HttpHandler;
import io.samphiredyke.net.http.HttpServer;
import io.samphiredyke.net.http.HttpServerOptions;
import io.samphiredyke.net.http.ResponseStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** A stand-in for a host that responds to POST requests by a script, one step for each request. */
final class ScriptedServer {

  private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

  /** A received POST request. */
  record Post(String path, String id, @Nullable String lastEventId, long connection) {}

  private final HttpServer server;
  private final Deque<HttpHandler> script = new ArrayDeque<>();
  private final List<Post> posts = Collections.synchronizedList(new ArrayList<>());
  private volatile List<String> addresses = List.of();
  private int tickets;

  ScriptedServer(EventLoopGroup group) {
    server = HttpServer.start(group, ANY_PORT, HttpServerOptions.defaults(), this::handle).join();
    addresses = List.of(address());
  }

  String address() {
    return "127.0.0.1:" + server.address().getPort();
  }

  List<Post> posts() {
    return posts;
  }

  ScriptedServer addresses(String... newAddresses) {
    addresses = List.of(newAddresses);
    return this;
  }

  synchronized ScriptedServer then(HttpHandler step) {
    script.add(step);
    return this;
  }

  void stop() {
    server.stop().join();
  }

  private synchronized void handle(HttpExchange exchange) {
    if (exchange.path().equals("/v1/addresses")) {
      String ticket = "ticket" + ++tickets;
      exchange.respondJson(
          200, Map.of("addresses", addresses, "ticket", ticket, "expiresInSeconds", 60));
      return;
    }
    String id = String.valueOf(exchange.header("idempotency-key"));
    String lastEventId = exchange.header("last-event-id");
    posts.add(new Post(exchange.path(), id, lastEventId, exchange.connectionNumber()));
    HttpHandler step = script.poll();
    if (step == null) {
      exchange.respond(500, Map.of(), new byte[0]);
      return;
    }
    exchange.body().thenAccept(body -> step.handle(exchange));
  }

  /**
   * Streams events with the given offsets, then the end marker and an interruption if requested.
   * The response states the id of the request, as those of hosts do.
   */
  static HttpHandler events(int from, int to, boolean done, boolean interrupt) {
    return exchange -> {
      String id = String.valueOf(exchange.header("idempotency-key"));
      ResponseStream stream =
          exchange.startStream(
              200, Map.of("content-type", "text/event-stream", "idempotency-key", id));
      for (int i = from; i <= to; i++) {
        String data = "{\"choices\":[{\"delta\":{\"content\":\"t" + i + " \"}}]}";
        stream.write(bytes("id: " + i + "\ndata: " + data + "\n\n"));
      }
      if (done) {
        stream.write(bytes("id: " + (to + 1) + "\ndata: [DONE]\n\n"));
      }
      if (interrupt) {
        exchange.eventLoop().execute(stream::abort);
      } else if (done) {
        stream.end();
      }
    };
  }

  static HttpHandler problem(int status, String ran, Map<String, String> headers) {
    return exchange -> {
      Map<String, String> allHeaders = new java.util.HashMap<>(headers);
      allHeaders.put("content-type", "application/problem+json");
      String body = "{\"status\":" + status + ",\"detail\":\"a test\",\"ran\":\"" + ran + "\"}";
      exchange.respond(status, allHeaders, bytes(body));
    };
  }

  /** Streams one event, then a problem document without an offset. */
  static HttpHandler problemEvent(int status, String ran) {
    return exchange -> {
      ResponseStream stream =
          exchange.startStream(200, Map.of("content-type", "text/event-stream"));
      stream.write(bytes("id: 1\ndata: {\"choices\":[]}\n\n"));
      String problem = "{\"status\":" + status + ",\"ran\":\"" + ran + "\"}";
      stream.write(bytes("data: {\"error\":" + problem + "}\n\n"));
      stream.end();
    };
  }

  static HttpHandler misdirected(String address) {
    return exchange ->
        exchange.respond(
            421,
            Map.of("content-type", "application/problem+json"),
            bytes("{\"status\":421,\"addresses\":[\"" + address + "\"]}"));
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
