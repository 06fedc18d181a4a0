package io.samphiredyke.daemon.admin;

import com.google.common.flogger.FluentLogger;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.samphiredyke.daemon.response.Problem;
import io.samphiredyke.net.admin.DrainStatus;
import io.samphiredyke.net.admin.HostStatus;
import io.samphiredyke.net.admin.RequestExplanation;
import io.samphiredyke.net.http.HttpExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;

/** The HTTP API for operators: liveness, readiness, metrics, status, drain, explain. */
public final class AdminApi {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String REQUESTS_PATH = "/v1/requests/";
  private static final String EXPLAIN_SUFFIX = "/explain";

  private final Metrics metrics;
  private final BooleanSupplier isReady;
  private final Supplier<CompletableFuture<HostStatus>> status;
  private final Function<String, CompletableFuture<Optional<RequestExplanation>>> explain;
  private final Supplier<CompletableFuture<DrainStatus>> drain;
  private final AdminAccessPolicy access;

  /**
   * Creates the API.
   *
   * @param isReady returns whether this host accepts requests
   * @param status creates a status report
   * @param explain returns the state and history of a request by its id
   * @param drain starts a graceful shutdown
   * @param access decides which requests are permitted
   */
  public AdminApi(
      Metrics metrics,
      BooleanSupplier isReady,
      Supplier<CompletableFuture<HostStatus>> status,
      Function<String, CompletableFuture<Optional<RequestExplanation>>> explain,
      Supplier<CompletableFuture<DrainStatus>> drain,
      AdminAccessPolicy access) {
    this.metrics = metrics;
    this.isReady = isReady;
    this.status = status;
    this.explain = explain;
    this.drain = drain;
    this.access = access;
  }

  /**
   * Handles a request if its method and path belong to this API.
   *
   * @param listener the kind of address at which the request arrived
   * @return whether the request was handled
   */
  public boolean handle(HttpExchange exchange, AdminAccessPolicy.ListenerKind listener) {
    AdminAccessPolicy.ResourceKind kind = resourceOf(exchange);
    if (kind == AdminAccessPolicy.ResourceKind.NONE || !access.isAvailable(kind, listener)) {
      return false;
    }
    Optional<Problem> refusal = access.refusal(kind, listener, exchange.header("authorization"));
    if (refusal.isPresent()) {
      metrics.count("refused-admin-request");
      refusal.get().send(exchange);
      return true;
    }
    return respond(exchange);
  }

  private static AdminAccessPolicy.ResourceKind resourceOf(HttpExchange exchange) {
    return switch (exchange.method() + " " + exchange.path()) {
      case "GET /live", "GET /ready" -> AdminAccessPolicy.ResourceKind.HEALTH;
      case "GET /metrics" -> AdminAccessPolicy.ResourceKind.METRICS;
      case "GET /v1/status", "GET /v1/configuration" -> AdminAccessPolicy.ResourceKind.STATE;
      case "POST /v1/drain" -> AdminAccessPolicy.ResourceKind.CHANGE;
      default ->
          isExplanation(exchange)
              ? AdminAccessPolicy.ResourceKind.STATE
              : AdminAccessPolicy.ResourceKind.NONE;
    };
  }

  private static boolean isExplanation(HttpExchange exchange) {
    String path = exchange.path();
    return exchange.method().equals("GET")
        && path.startsWith(REQUESTS_PATH)
        && path.endsWith(EXPLAIN_SUFFIX)
        && path.length() > REQUESTS_PATH.length() + EXPLAIN_SUFFIX.length();
  }

  private boolean respond(HttpExchange exchange) {
    String resource = exchange.method() + " " + exchange.path();
    switch (resource) {
      case "GET /live" -> exchange.respondJson(200, Map.of("live", true));
      case "GET /ready" -> {
        boolean ready = isReady.getAsBoolean();
        exchange.respondJson(ready ? 200 : 503, Map.of("ready", ready));
      }
      case "GET /metrics" -> sendMetrics(exchange);
      case "GET /v1/status" -> status.get().thenAccept(report -> exchange.respondJson(200, report));
      case "GET /v1/configuration" ->
          status.get().thenAccept(report -> exchange.respondJson(200, report.configuration()));
      case "POST /v1/drain" ->
          drain.get().thenAccept(started -> exchange.respondJson(202, started));
      default -> sendExplanation(exchange);
    }
    return true;
  }

  private void sendExplanation(HttpExchange exchange) {
    String path = exchange.path();
    String id = path.substring(REQUESTS_PATH.length(), path.length() - EXPLAIN_SUFFIX.length());
    explain
        .apply(id)
        .thenAccept(
            known ->
                known.ifPresentOrElse(
                    found -> exchange.respondJson(200, found),
                    () -> exchange.respondJson(404, Map.of("title", "not known here"))));
  }

  private void sendMetrics(HttpExchange exchange) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, metrics.registry().scrape());
      exchange.respond(
          200, Map.of("content-type", PrometheusTextFormatWriter.CONTENT_TYPE), out.toByteArray());
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("cannot write the metrics");
      exchange.respond(500, Map.of(), "no metrics".getBytes(StandardCharsets.UTF_8));
    }
  }
}
