package io.samphiredyke.standins.server;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import io.samphiredyke.net.codec.Json;
import io.samphiredyke.net.http.HttpException;
import io.samphiredyke.net.http.HttpExchange;
import io.samphiredyke.net.http.HttpServer;
import io.samphiredyke.net.http.HttpServerOptions;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Base class of the stand-ins: serves HTTP on one event loop, accepts fault switches on {@code POST
 * /control/faults} and returns counters on {@code GET /control/counts}.
 *
 * <p>Faults never apply to the control API.
 *
 * @param <F> the type of the fault switches
 */
public abstract class AbstractStandIn<F extends FaultSwitches> {

  private static final String CONTROL_PREFIX = "/control/";
  private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;
  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_INTERNAL_ERROR = 500;

  private final StandInRuntime runtime;
  private final Timers timers;
  private final Class<F> faultType;
  private F faults;
  private long newestConnection;
  private long newestSilentConnection;
  private volatile @Nullable HttpServer server;

  /**
   * Creates a stand-in that isn't bound yet.
   *
   * @param noFaults the switches of a fault-free stand-in
   */
  protected AbstractStandIn(StandInRuntime runtime, Class<F> faultType, F noFaults) {
    this.runtime = runtime;
    this.timers = new Timers(runtime);
    this.faultType = faultType;
    this.faults = noFaults;
  }

  /** Serves a request to the interface of the simulated system. */
  protected abstract void serve(HttpExchange exchange);

  /** Returns the body of {@code GET /control/counts}. */
  protected abstract Object counts(HttpExchange exchange);

  /** Called after the fault switches have changed. */
  protected void onFaultsChanged(F changed) {}

  /** Serves a control request that only this kind of stand-in supports. */
  protected void serveControl(HttpExchange exchange) {
    respondNotFound(exchange);
  }

  /** Binds the address; port 0 selects a free port. */
  protected final CompletableFuture<Void> bind(InetSocketAddress address) {
    HttpServerOptions options = HttpServerOptions.defaults().withMaxBodyBytes(MAX_BODY_BYTES);
    return HttpServer.start(runtime.loop(), address, options, this::handle)
        .thenAccept(started -> server = started);
  }

  /**
   * Returns the bound address.
   *
   * @throws IllegalStateException if the stand-in isn't bound
   */
  public final InetSocketAddress address() {
    HttpServer bound = server;
    if (bound == null) {
      throw new IllegalStateException("the stand-in isn't bound");
    }
    return bound.address();
  }

  /** Closes the listener and all connections. */
  public final CompletableFuture<Void> stop() {
    HttpServer bound = server;
    return bound == null ? CompletableFuture.completedFuture(null) : bound.stop();
  }

  /** Sets the fault switches, as {@code POST /control/faults} does. */
  public final CompletableFuture<Void> setFaults(F changed) {
    return CompletableFuture.runAsync(() -> applyFaults(changed), runtime.loop());
  }

  /** Returns the current fault switches; called on the event loop only. */
  protected final F faults() {
    return faults;
  }

  /** Returns the timers; called on the event loop only. */
  protected final Timers timers() {
    return timers;
  }

  /** Returns the event loop and the clocks. */
  protected final StandInRuntime runtime() {
    return runtime;
  }

  private void handle(HttpExchange exchange) {
    if (exchange.path().startsWith(CONTROL_PREFIX)) {
      handleControl(exchange);
      return;
    }
    long connection = exchange.connectionNumber();
    newestConnection = Math.max(newestConnection, connection);
    HttpExchange silenceable =
        new SilenceableExchange(exchange, () -> connection <= newestSilentConnection);
    try {
      serve(silenceable);
    } catch (RuntimeException e) {
      respondFailure(silenceable, e);
    }
  }

  private void handleControl(HttpExchange exchange) {
    String request = exchange.method() + " " + exchange.path();
    switch (request) {
      case "POST /control/faults" ->
          withBody(
              exchange,
              faultType,
              changed -> {
                applyFaults(changed);
                exchange.respondJson(STATUS_OK, changed);
              });
      case "GET /control/faults" -> exchange.respondJson(STATUS_OK, faults);
      case "GET /control/counts" -> exchange.respondJson(STATUS_OK, counts(exchange));
      default -> serveControl(exchange);
    }
  }

  private void applyFaults(F changed) {
    faults = changed;
    if (changed.silenceOpenConnections()) {
      newestSilentConnection = newestConnection;
    }
    onFaultsChanged(changed);
  }

  /** Parses the body as JSON and passes it to the handler; responds 400 if it can't be parsed. */
  protected final <T> void withBody(HttpExchange exchange, Class<T> type, Consumer<T> handler) {
    exchange
        .body()
        .thenAccept(bytes -> handler.accept(parse(bytes, type)))
        .exceptionally(
            failure -> {
              respondFailure(exchange, failure);
              return null;
            });
  }

  private static <T> T parse(byte[] bytes, Class<T> type) {
    boolean strict = FaultSwitches.class.isAssignableFrom(type);
    ObjectReader reader = Json.mapper().readerFor(type);
    if (strict) {
      reader = reader.with(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    }
    try {
      T value = reader.readValue(bytes);
      if (value == null) {
        throw new HttpException(STATUS_BAD_REQUEST, "the body is null");
      }
      return value;
    } catch (IOException e) {
      throw new HttpException(STATUS_BAD_REQUEST, String.valueOf(e.getMessage()));
    }
  }

  /** Responds 404. */
  protected static void respondNotFound(HttpExchange exchange) {
    respondError(exchange, STATUS_NOT_FOUND, "not_found", "nothing at " + exchange.path());
  }

  /** Responds with an error in the format of the OpenAI API. */
  protected static void respondError(
      HttpExchange exchange, int status, String type, String message) {
    exchange.respondJson(status, new ErrorBody(new ErrorBody.Detail(message, type)));
  }

  private static void respondFailure(HttpExchange exchange, Throwable failure) {
    Throwable cause = failure;
    if (failure instanceof CompletionException && failure.getCause() != null) {
      cause = failure.getCause();
    }
    int status = cause instanceof HttpException known ? known.status() : STATUS_INTERNAL_ERROR;
    respondError(exchange, status, "invalid_request_error", String.valueOf(cause.getMessage()));
  }

  /** Returns headers that contain only a content type. */
  protected static Map<String, String> contentType(String value) {
    return Map.of("content-type", value);
  }
}
