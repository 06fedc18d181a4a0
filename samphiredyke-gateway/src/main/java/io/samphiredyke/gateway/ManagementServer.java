package io.samphiredyke.gateway;

import io.netty.channel.EventLoop;
import io.samphiredyke.gateway.metrics.GatewayMetrics;
import io.samphiredyke.gateway.store.PeerBootstrap;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.HttpExchange;
import io.samphiredyke.net.http.HttpServer;
import io.samphiredyke.net.http.HttpServerOptions;
import io.samphiredyke.platform.CallerApi;
import io.samphiredyke.platform.HostSettings;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** The pages beside the callers' requests: addresses, readiness, metrics. */
final class ManagementServer {

  /**
   * Addresses in one answer. Few of many, as the choice of them is what spreads callers over unlike
   * hosts; enough that some are left when half of the hosts go at once.
   */
  static final int MAX_ADDRESSES = 12;

  /**
   * How long callers may keep the addresses. Some keep them three times as long, and a host that
   * stops must have served the last of them well within its grace time.
   */
  static final double TTL_SECONDS = 1;

  private static final String METRICS_PATH = "/metrics";
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final Gateway gateway;
  private final GatewayMetrics metrics;

  ManagementServer(Gateway gateway, GatewayMetrics metrics) {
    this.gateway = gateway;
    this.metrics = metrics;
  }

  CompletableFuture<Void> start(EventLoop loop, HostSettings settings) {
    return listen(loop, settings.readinessAddress())
        .thenCompose(done -> listen(loop, settings.directoryAddress()))
        .thenCompose(done -> listen(loop, settings.metricsAddress()))
        .thenAccept(done -> {});
  }

  private CompletableFuture<HttpServer> listen(EventLoop loop, String address) {
    return HttpServer.start(
        loop, SocketAddresses.parse(address), HttpServerOptions.defaults(), this::handle);
  }

  private void handle(HttpExchange exchange) {
    switch (exchange.path()) {
      case CallerApi.READINESS_PATH ->
          exchange.respond(gateway.isReady() ? OK : UNAVAILABLE, Map.of(), new byte[0]);
      case CallerApi.ADDRESSES_PATH -> addresses(exchange);
      case PeerBootstrap.PATH ->
          exchange.respond(
              OK, Map.of("content-type", "application/json"), gateway.peerBelief().page());
      case METRICS_PATH ->
          exchange.respond(OK, Map.of("content-type", "text/plain"), metrics.page());
      default -> exchange.respond(NOT_FOUND, Map.of(), new byte[0]);
    }
  }

  private void addresses(HttpExchange exchange) {
    List<String> ready = gateway.readyAddresses();
    if (ready.isEmpty()) {
      exchange.respond(UNAVAILABLE, Map.of(), new byte[0]);
      return;
    }
    byte[] body = CallerApi.addresses(ready, gateway.callerTtlSeconds());
    exchange.respond(OK, Map.of("content-type", "application/json"), body);
  }
}
