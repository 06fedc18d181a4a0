package io.samphiredyke.daemon.orders;

import io.samphiredyke.core.orders.EngineOrder;
import io.samphiredyke.core.orders.EngineState;
import io.samphiredyke.net.codec.Json;
import io.samphiredyke.net.http.HttpClient;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.jspecify.annotations.Nullable;

/** HTTP client that reads the state of engines and sends orders to them. */
final class EngineClient {

  private static final int OK = 200;
  private static final int ACCEPTED = 202;

  private record ModelBody(String model, String version, @Nullable String adapter, String status) {}

  private record StateBody(String role, List<ModelBody> models) {}

  private record OrderBody(
      String kind,
      @Nullable String model,
      @Nullable String version,
      @Nullable String adapter,
      @Nullable String role,
      long fence) {}

  private final HttpClient http;
  private final Duration timeout;

  EngineClient(HttpClient http, Duration timeout) {
    this.http = http;
    this.timeout = timeout;
  }

  CompletableFuture<EngineState> state(InetSocketAddress engine) {
    HttpRequest request = HttpRequest.get(engine, "/v1/state").timeout(timeout).build();
    return http.send(request).thenApply(EngineClient::state);
  }

  /** Sends an order and returns whether the engine accepted it. */
  CompletableFuture<Boolean> sendOrder(InetSocketAddress engine, EngineOrder order) {
    OrderBody body =
        new OrderBody(
            order.kind().name().toLowerCase(Locale.ROOT),
            order.model(),
            order.version(),
            order.adapter(),
            order.role(),
            order.fence());
    HttpRequest request =
        HttpRequest.post(engine, "/v1/orders", Json.bytes(body)).timeout(timeout).build();
    return http.send(request)
        .thenApply(response -> response.status() == OK || response.status() == ACCEPTED);
  }

  private static EngineState state(HttpResponse response) {
    try {
      if (response.status() != OK) {
        throw new IOException("the engine responded with status " + response.status());
      }
      StateBody body = response.json(StateBody.class);
      Map<EngineState.ModelArtifact, EngineState.Status> artifacts = new HashMap<>();
      for (ModelBody model : body.models()) {
        artifacts.put(
            new EngineState.ModelArtifact(model.model(), model.version(), model.adapter()),
            EngineState.Status.valueOf(model.status().toUpperCase(Locale.ROOT)));
      }
      return new EngineState(body.role(), artifacts);
    } catch (IOException | IllegalArgumentException e) {
      throw new CompletionException(e);
    }
  }
}
