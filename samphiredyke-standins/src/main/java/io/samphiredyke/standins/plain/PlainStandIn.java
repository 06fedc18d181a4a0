package io.samphiredyke.standins.plain;

import io.samphiredyke.net.http.HttpExchange;
import io.samphiredyke.standins.engine.Prompt;
import io.samphiredyke.standins.server.AbstractStandIn;
import io.samphiredyke.standins.server.StandInRuntime;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * Stand-in for a plain service that isn't idempotent: it doesn't recognise repeated request ids, so
 * that each call has an effect.
 *
 * <p>A call takes effect when it starts; its response follows after the latency.
 */
public final class PlainStandIn extends AbstractStandIn<PlainFaults> {

  private static final String RESULT_PREFIX = "/v1/results/";

  /** Maximum number of request ids for which results and effects are kept; bounds memory. */
  private static final int MAX_RECORDED_IDS = 500_000;

  private static final int STATUS_OK = 200;
  private static final int STATUS_ACCEPTED = 202;
  private static final int STATUS_NOT_FOUND = 404;

  private final PlainSettings settings;
  private final ArrayDeque<Call> waiting = new ArrayDeque<>();
  private final Map<String, Long> effects = new LinkedHashMap<>();
  private final Map<String, Result> results = new LinkedHashMap<>();
  private int running;
  private int responsesToDrop;
  private long totalEffects;
  private long effectsWhileDraining;
  private long requestsWithoutId;

  private PlainStandIn(StandInRuntime runtime, PlainSettings settings) {
    super(runtime, PlainFaults.class, PlainFaults.NONE);
    this.settings = settings;
  }

  private record Call(HttpExchange exchange, String id, String digest) {}

  /** The latest result of a request id; null while the call is running or waiting. */
  private record Result(@Nullable PlainResult finished) {}

  private record Running(String state) {}

  private record Counts(
      String name,
      String dataCentre,
      long effects,
      long effectsWhileLeaving,
      int running,
      int waiting,
      Map<String, Long> requests) {}

  /**
   * Starts a plain service stand-in.
   *
   * @param address the address to listen on; port 0 selects a free port
   * @return the stand-in; fails with {@link java.net.BindException} when the address is in use
   */
  public static CompletableFuture<PlainStandIn> start(
      StandInRuntime runtime, InetSocketAddress address, PlainSettings settings) {
    PlainStandIn service = new PlainStandIn(runtime, settings);
    return service.bind(address).thenApply(bound -> service);
  }

  @Override
  protected void serve(HttpExchange exchange) {
    if (exchange.method().equals("POST")) {
      accept(exchange);
    } else if (exchange.method().equals("GET") && exchange.path().startsWith(RESULT_PREFIX)) {
      respondWithResult(exchange, exchange.path().substring(RESULT_PREFIX.length()));
    } else {
      respondNotFound(exchange);
    }
  }

  private void respondWithResult(HttpExchange exchange, String id) {
    Result result = results.get(id);
    if (result == null) {
      respondError(exchange, STATUS_NOT_FOUND, "request_not_found", "no request " + id);
    } else if (result.finished() == null) {
      exchange.respondJson(STATUS_ACCEPTED, new Running("running"));
    } else {
      exchange.respondJson(STATUS_OK, result.finished());
    }
  }

  private void accept(HttpExchange exchange) {
    int rejectStatus = faults().rejectStatus();
    if (rejectStatus > 0) {
      respondError(exchange, rejectStatus, "overloaded", "the service takes no calls now");
      return;
    }
    exchange
        .body()
        .thenAccept(
            body -> {
              String text = new String(body, StandardCharsets.UTF_8);
              enqueue(new Call(exchange, requestId(exchange), Prompt.digestOf(text)));
            });
  }

  private String requestId(HttpExchange exchange) {
    String id = exchange.header("idempotency-key");
    if (id != null) {
      return id;
    }
    requestsWithoutId++;
    return settings.name() + "-" + requestsWithoutId;
  }

  private void enqueue(Call call) {
    results.put(call.id(), new Result(null));
    if (results.size() > MAX_RECORDED_IDS) {
      results.remove(results.keySet().iterator().next());
    }
    waiting.addLast(call);
    startWaitingCalls();
  }

  private void startWaitingCalls() {
    while (running < settings.concurrency() && !waiting.isEmpty()) {
      Call call = waiting.removeFirst();
      running++;
      long effect = recordEffect(call.id());
      long nanos = Math.round(settings.latency().toNanos() * faults().latencyFactor());
      timers().scheduleAfter(nanos, () -> finish(call, effect));
    }
  }

  private long recordEffect(String id) {
    totalEffects++;
    if (faults().leaving()) {
      effectsWhileDraining++;
    }
    long effect = effects.merge(id, 1L, Long::sum);
    if (effects.size() > MAX_RECORDED_IDS) {
      effects.remove(effects.keySet().iterator().next());
    }
    return effect;
  }

  private void finish(Call call, long effect) {
    running--;
    PlainResult result =
        new PlainResult(call.id(), settings.name(), call.exchange().path(), call.digest(), effect);
    results.put(call.id(), new Result(result));
    respond(call.exchange(), result);
    startWaitingCalls();
  }

  private void respond(HttpExchange exchange, PlainResult result) {
    if (faults().hang()) {
      return;
    }
    if (responsesToDrop > 0) {
      responsesToDrop--;
      exchange.abort();
      return;
    }
    int failStatus = faults().failStatus();
    if (failStatus > 0) {
      respondError(exchange, failStatus, "failed", "the call failed after its effect");
      return;
    }
    exchange.respondJson(STATUS_OK, result);
  }

  @Override
  protected Object counts(HttpExchange exchange) {
    return new Counts(
        settings.name(),
        settings.dataCentre(),
        totalEffects,
        effectsWhileDraining,
        running,
        waiting.size(),
        effects);
  }

  @Override
  protected void onFaultsChanged(PlainFaults changed) {
    responsesToDrop = changed.loseAnswers();
  }
}
