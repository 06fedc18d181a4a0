package io.samphiredyke.gateway;

import io.netty.channel.EventLoop;
import io.samphiredyke.core.serving.CallerLimits;
import io.samphiredyke.gateway.metrics.GatewayMetrics;
import io.samphiredyke.gateway.store.PeerBootstrap;
import io.samphiredyke.net.control.SocketAddresses;
import io.samphiredyke.net.http.HttpExchange;
import io.samphiredyke.net.http.HttpServer;
import io.samphiredyke.net.http.HttpServerOptions;
import io.samphiredyke.platform.CallerApi;
import io.samphiredyke.platform.HostSettings;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** HTTP servers for host addresses, readiness, metrics and the state for other hosts. */
final class ManagementServer {

  /**
   * Maximum number of addresses in a response. It is small because callers are distributed over
   * hosts of unequal capacity by the choice of addresses, but large enough that some addresses
   * remain valid when half of the hosts fail at once.
   */
  static final int MAX_ADDRESSES = 12;

  /**
   * How long callers may cache the addresses. Some cache them three times as long, and a host that
   * stops must serve the last of these callers well within its grace period.
   */
  static final double TTL_SECONDS = 1;

  private static final String METRICS_PATH = "/metrics";
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final HttpServerOptions options;
  private final Gateway gateway;
  private final GatewayMetrics metrics;

  ManagementServer(Gateway gateway, GatewayMetrics metrics, ClientLimits clients) {
    this.options =
        HttpServerOptions.defaults()
            .withMemory(clients.memory())
            .withMaxConnections(clients.managementConnections(), clients::displaced)
            .withRequestTimeout(Duration.ofMillis(CallerLimits.defaults().headerTimeoutMillis()));
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
    return HttpServer.start(loop, SocketAddresses.parse(address), options, this::handle);
  }

  private void handle(HttpExchange exchange) {
    switch (exchange.path()) {
      case CallerApi.READINESS_PATH ->
          exchange.respond(gateway.isReady() ? OK : UNAVAILABLE, Map.of(), new byte[0]);
      case CallerApi.ADDRESSES_PATH -> addresses(exchange);
      case PeerBootstrap.PATH ->
          exchange.respond(
              OK, Map.of("content-type", "application/json"), gateway.peerBootstrap().page());
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
