package io.samphiredyke.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.samphiredyke.net.admin.ConfigurationStatus;
import io.samphiredyke.net.admin.DrainStatus;
import io.samphiredyke.net.admin.EndpointStatus;
import io.samphiredyke.net.admin.HostStatus;
import io.samphiredyke.net.admin.TierStatus;
import io.samphiredyke.net.codec.Json;
import io.samphiredyke.net.http.HttpExchange;
import io.samphiredyke.net.http.HttpServer;
import io.samphiredyke.net.http.HttpServerOptions;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Test double that serves a log without retention and the admin API of one host on the same port.
 */
final class FakePlatform implements AutoCloseable {

  private static final String RECORDS = "/v1/streams/samphiredyke-configuration/records";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpServer server;
  private final List<JsonNode> records = Collections.synchronizedList(new ArrayList<>());
  volatile boolean dropsNextResponse;
  volatile boolean hostIsBehind;

  FakePlatform() throws Exception {
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    server =
        HttpServer.start(group, anyPort, HttpServerOptions.defaults(), this::handle)
            .get(5, TimeUnit.SECONDS);
  }

  String address() {
    return "127.0.0.1:" + server.address().getPort();
  }

  int recordCount() {
    return records.size();
  }

  private void handle(HttpExchange exchange) {
    switch (exchange.path()) {
      case RECORDS -> {
        if (exchange.method().equals("POST")) {
          exchange.body().thenAccept(body -> append(exchange, body));
        } else {
          read(exchange);
        }
      }
      case "/v1/configuration" -> exchange.respondJson(200, configuration());
      case "/v1/status" -> exchange.respondJson(200, status());
      case "/v1/drain" -> respondDrain(exchange);
      default -> exchange.respondJson(404, Map.of());
    }
  }

  private void append(HttpExchange exchange, byte[] body) {
    try {
      records.add(Json.read(body, JsonNode.class));
    } catch (IOException e) {
      exchange.respondJson(400, Map.of());
      return;
    }
    if (dropsNextResponse) {
      dropsNextResponse = false;
      exchange.respondJson(500, Map.of());
      return;
    }
    exchange.respondJson(200, Map.of("offset", records.size() - 1));
  }

  private void read(HttpExchange exchange) {
    int from = Integer.parseInt(exchange.query().get("from"));
    int to = records.size();
    List<Map<String, Object>> page = new ArrayList<>();
    for (int i = from; i < to; i++) {
      page.add(Map.of("offset", i, "time", 0, "value", records.get(i)));
    }
    exchange.respondJson(200, Map.of("first", 0, "next", to, "records", page));
  }

  private void respondDrain(HttpExchange exchange) {
    boolean isAuthorized = "Bearer secret".equals(exchange.header("authorization"));
    exchange.respondJson(isAuthorized ? 202 : 401, new DrainStatus("entry-1", 3));
  }

  private ConfigurationStatus configuration() {
    long offset = hostIsBehind ? -1 : records.size() - 1;
    return new ConfigurationStatus("entry-1", offset, "0123456789abcdef", "READY", false, 0);
  }

  private HostStatus status() {
    return new HostStatus(
        "entry-1",
        "oslo-1",
        address(),
        "1",
        false,
        configuration(),
        List.of(new EndpointStatus("engine-1", "ACTIVE", 5, 16, 2)),
        List.of(new TierStatus("urgent", 1, 4, 100, 0)));
  }

  @Override
  public void close() {
    server.stop();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
