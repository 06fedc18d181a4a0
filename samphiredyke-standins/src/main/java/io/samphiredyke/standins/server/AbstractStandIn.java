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
 * Base of the stand-ins: serves HTTP on one event loop, takes fault switches on {@code POST
 * /control/faults} and shows counts on {@code GET /control/counts}.
 *
 * <p>The control pages stay reachable whatever the faults are.
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
   * @param noFaults the switches of a stand-in that works properly
   */
  protected AbstractStandIn(StandInRuntime runtime, Class<F> faultType, F noFaults) {
    this.runtime = runtime;
    this.timers = new Timers(runtime);
    this.faultType = faultType;
    this.faults = noFaults;
  }

  /** Serves a request of the outside system's own interface. */
  protected abstract void serve(HttpExchange exchange);

  /** Returns what {@code GET /control/counts} shows. */
  protected abstract Object counts(HttpExchange exchange);

  /** Called after the switches changed. */
  protected void faultsChanged(F changed) {}

  /** Serves a control page of the stand-in's own. */
  protected void serveControl(HttpExchange exchange) {
    respondNotFound(exchange);
  }

  /** Binds the address; a port of 0 takes a free one. */
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

  /** Sets the switches, as {@code POST /control/faults} does. */
  public final CompletableFuture<Void> setFaults(F changed) {
    return CompletableFuture.runAsync(() -> applyFaults(changed), runtime.loop());
  }

  /** Returns the switches in force; used on the event loop only. */
  protected final F faults() {
    return faults;
  }

  /** Returns the timers; used on the event loop only. */
  protected final Timers timers() {
    return timers;
  }

  /** Returns what the stand-in runs on. */
  protected final StandInRuntime runtime() {
    return runtime;
  }

  private void handle(HttpExchange exchange) {
    if (exchange.path().startsWith(CONTROL_PREFIX)) {
      control(exchange);
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

  private void control(HttpExchange exchange) {
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
    faultsChanged(changed);
  }

  /** Reads the body as JSON and passes it on; a body that isn't of the type is answered 400. */
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

  /** Answers 404. */
  protected static void respondNotFound(HttpExchange exchange) {
    respondError(exchange, STATUS_NOT_FOUND, "not_found", "nothing at " + exchange.path());
  }

  /** Answers with an error in the form that OpenAI's interface uses. */
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

  /** Returns headers of one entry. */
  protected static Map<String, String> contentType(String value) {
    return Map.of("content-type", value);
  }
}
