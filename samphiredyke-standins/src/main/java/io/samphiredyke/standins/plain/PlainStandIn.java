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
 * A plain service whose calls have an effect each time: it does not recognise repeated request ids.
 *
 * <p>The effect takes place when a call starts to run, its answer follows after the latency.
 */
public final class PlainStandIn extends AbstractStandIn<PlainFaults> {

  private static final String RESULT_PREFIX = "/v1/results/";
  private static final int KEPT_RESULTS = 500_000;
  private static final int STATUS_OK = 200;
  private static final int STATUS_ACCEPTED = 202;
  private static final int STATUS_NOT_FOUND = 404;

  private final PlainSettings settings;
  private final ArrayDeque<Call> waiting = new ArrayDeque<>();
  private final Map<String, Long> effects = new LinkedHashMap<>();
  private final Map<String, Result> results = new LinkedHashMap<>();
  private int running;
  private int answersToLose;
  private long totalEffects;
  private long effectsWhileLeaving;
  private long unnamedRequests;

  private PlainStandIn(StandInRuntime runtime, PlainSettings settings) {
    super(runtime, PlainFaults.class, PlainFaults.NONE);
    this.settings = settings;
  }

  private record Call(HttpExchange exchange, String id, String digest) {}

  /** The newest result of a request id; null while the call runs or waits. */
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
   * Starts a plain service.
   *
   * @param address where to listen; a port of 0 takes a free one
   * @return the service; fails with {@link java.net.BindException} when the address is in use
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
      answerResult(exchange, exchange.path().substring(RESULT_PREFIX.length()));
    } else {
      respondNotFound(exchange);
    }
  }

  private void answerResult(HttpExchange exchange, String id) {
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
    unnamedRequests++;
    return settings.name() + "-" + unnamedRequests;
  }

  private void enqueue(Call call) {
    results.put(call.id(), new Result(null));
    if (results.size() > KEPT_RESULTS) {
      results.remove(results.keySet().iterator().next());
    }
    waiting.addLast(call);
    startWaiting();
  }

  private void startWaiting() {
    while (running < settings.concurrency() && !waiting.isEmpty()) {
      Call call = waiting.removeFirst();
      running++;
      long effect = takeEffect(call.id());
      long nanos = Math.round(settings.latency().toNanos() * faults().latencyFactor());
      timers().after(nanos, () -> finish(call, effect));
    }
  }

  private long takeEffect(String id) {
    totalEffects++;
    if (faults().leaving()) {
      effectsWhileLeaving++;
    }
    long effect = effects.merge(id, 1L, Long::sum);
    if (effects.size() > KEPT_RESULTS) {
      effects.remove(effects.keySet().iterator().next());
    }
    return effect;
  }

  private void finish(Call call, long effect) {
    running--;
    PlainResult result =
        new PlainResult(call.id(), settings.name(), call.exchange().path(), call.digest(), effect);
    results.put(call.id(), new Result(result));
    answer(call.exchange(), result);
    startWaiting();
  }

  private void answer(HttpExchange exchange, PlainResult result) {
    if (faults().hang()) {
      return;
    }
    if (answersToLose > 0) {
      answersToLose--;
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
        effectsWhileLeaving,
        running,
        waiting.size(),
        effects);
  }

  @Override
  protected void faultsChanged(PlainFaults changed) {
    answersToLose = changed.loseAnswers();
  }
}
