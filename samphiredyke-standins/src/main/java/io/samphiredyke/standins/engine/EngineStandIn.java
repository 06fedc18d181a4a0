package io.samphiredyke.standins.engine;

import io.samphiredyke.net.http.HttpExchange;
import io.samphiredyke.standins.server.AbstractStandIn;
import io.samphiredyke.standins.server.StandInRuntime;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Stand-in for a model engine that serves OpenAI-style chat completions.
 *
 * @see EngineModel
 */
public final class EngineStandIn extends AbstractStandIn<EngineFaults> {

  private static final String REQUEST_PREFIX = "/v1/requests/";
  private static final String STREAM_SUFFIX = "/stream";
  private static final int STATUS_OK = 200;
  private static final int STATUS_ACCEPTED = 202;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_CONFLICT = 409;

  private final EngineSettings settings;
  private final EngineModel model;
  private final CompletionStore completions;
  private final OrderProcessor orderProcessor;
  private final CacheApi cacheApi;
  private final WeightFetcher weightFetcher;
  private @Nullable Long drainingSince;
  private long executionsWhileDraining;
  private long latestAfterDrainStart;
  private long requestsWithoutId;
  private long scheduledFor = EngineModel.IDLE;

  private EngineStandIn(StandInRuntime runtime, EngineSettings settings) {
    super(runtime, EngineFaults.class, EngineFaults.NONE);
    this.settings = settings;
    this.model = new EngineModel(settings.options());
    this.completions =
        new CompletionStore(model, timers(), settings.resumeWindow().toNanos(), this::faults);
    this.orderProcessor =
        new OrderProcessor(settings.checkFence(), settings.role(), settings.models());
    this.cacheApi = new CacheApi(model, settings, runtime, timers());
    this.weightFetcher = new WeightFetcher(settings, runtime, timers());
  }

  /**
   * Starts an engine stand-in.
   *
   * @param address the address to listen on; port 0 selects a free port
   * @return the stand-in; fails with {@link java.net.BindException} when the address is in use
   */
  public static CompletableFuture<EngineStandIn> start(
      StandInRuntime runtime, InetSocketAddress address, EngineSettings settings) {
    EngineStandIn engine = new EngineStandIn(runtime, settings);
    return engine.bind(address).thenApply(bound -> engine);
  }

  @Override
  protected void serve(HttpExchange exchange) {
    String path = exchange.path();
    String request = exchange.method() + " " + path;
    switch (request) {
      case "POST /v1/chat/completions" -> acceptChat(exchange);
      case "GET /v1/load" -> exchange.respondJson(STATUS_OK, load());
      case "GET /v1/state" -> exchange.respondJson(STATUS_OK, state());
      case "GET /v1/cache/events" -> cacheApi.listEvents(exchange);
      case "POST /v1/cache/import" ->
          withBody(
              exchange, EngineBodies.KvBlocks.class, body -> cacheApi.importBlocks(exchange, body));
      case "POST /v1/orders" ->
          withBody(exchange, Order.class, order -> handleOrder(exchange, order));
      default -> serveByPrefix(exchange, path);
    }
  }

  private void serveByPrefix(HttpExchange exchange, String path) {
    if (path.startsWith(CacheApi.EXPORT_PREFIX) && exchange.method().equals("GET")) {
      cacheApi.exportBlocks(exchange, path.substring(CacheApi.EXPORT_PREFIX.length()));
      return;
    }
    if (!path.startsWith(REQUEST_PREFIX)) {
      respondNotFound(exchange);
      return;
    }
    String id = path.substring(REQUEST_PREFIX.length());
    if (exchange.method().equals("DELETE")) {
      cancel(exchange, id);
    } else if (exchange.method().equals("GET") && id.endsWith(STREAM_SUFFIX)) {
      resume(exchange, id.substring(0, id.length() - STREAM_SUFFIX.length()));
    } else {
      respondNotFound(exchange);
    }
  }

  private void acceptChat(HttpExchange exchange) {
    int rejectStatus = faults().rejectStatus();
    if (rejectStatus > 0) {
      respondError(exchange, rejectStatus, "overloaded", "the engine takes no requests now");
      return;
    }
    withBody(exchange, ChatRequest.class, chat -> execute(exchange, chat));
  }

  private void execute(HttpExchange exchange, ChatRequest chat) {
    String name = chat.model();
    if (name == null || !orderProcessor.hasLoaded(name)) {
      respondError(exchange, STATUS_NOT_FOUND, "model_not_found", "no model " + name + " here");
      return;
    }
    if (chat.answerLimit() < 1) {
      respondError(
          exchange, STATUS_BAD_REQUEST, "invalid_request_error", "max_tokens must be positive");
      return;
    }
    long execution = submit(requestId(exchange), name, chat);
    if (!faults().hang()) {
      completions.sendTo(execution, exchange, chat.stream());
    }
  }

  private long submit(String id, String name, ChatRequest chat) {
    Prompt prompt = Prompt.ofText(name, chat.promptText(), settings.options().blockTokens());
    int limit = chat.answerLimit();
    int length =
        settings.earlyStop() ? CompletionText.of(id, prompt.digest()).lengthWithin(limit) : limit;
    EngineRequest request = new EngineRequest(id, prompt, length);
    long now = timers().now();
    runSteps();
    long execution = model.submit(request, now);
    countIfDraining(now);
    long seconds = TimeUnit.MILLISECONDS.toSeconds(runtime().clock().millis());
    completions.add(execution, new Completion(request, name, limit, seconds));
    scheduleStep();
    return execution;
  }

  private String requestId(HttpExchange exchange) {
    String id = exchange.header("idempotency-key");
    if (id != null) {
      return id;
    }
    requestsWithoutId++;
    return settings.name() + "-" + requestsWithoutId;
  }

  private void countIfDraining(long now) {
    Long since = drainingSince;
    if (since != null) {
      executionsWhileDraining++;
      latestAfterDrainStart = now - since;
    }
  }

  private void runSteps() {
    model.runUntil(timers().now()).forEach(completions::addToken);
    scheduleStep();
  }

  /** Schedules the end of the running step; a timer for a different time has no effect any more. */
  private void scheduleStep() {
    long next = model.nextStepAt();
    if (next == scheduledFor) {
      return;
    }
    scheduledFor = next;
    if (next != EngineModel.IDLE) {
      timers().scheduleAt(next, () -> onStepEnd(next));
    }
  }

  private void onStepEnd(long due) {
    if (scheduledFor == due) {
      scheduledFor = EngineModel.IDLE;
      runSteps();
    }
  }

  private void resume(HttpExchange exchange, String id) {
    int after = lastEventId(exchange.header("last-event-id"));
    if (after < 0) {
      respondError(
          exchange, STATUS_BAD_REQUEST, "invalid_request_error", "Last-Event-ID is no number");
    } else if (!completions.resume(id, after, exchange)) {
      respondError(exchange, STATUS_NOT_FOUND, "request_not_found", "no stream of request " + id);
    }
  }

  private static int lastEventId(@Nullable String header) {
    if (header == null) {
      return 0;
    }
    try {
      return Integer.parseInt(header);
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  private void cancel(HttpExchange exchange, String id) {
    runSteps();
    if (completions.cancel(id)) {
      exchange.respondJson(STATUS_OK, new Cancelled(id));
    } else {
      respondError(exchange, STATUS_NOT_FOUND, "request_not_found", "no request " + id);
    }
  }

  private record Cancelled(String cancelled) {}

  private void handleOrder(HttpExchange exchange, Order order) {
    OrderProcessor.Outcome outcome = orderProcessor.apply(order);
    switch (outcome) {
      case FENCED ->
          respondError(
              exchange,
              STATUS_CONFLICT,
              "old_fence",
              "fencing number " + order.fence() + " is below " + orderProcessor.highestFence());
      case INVALID ->
          respondError(
              exchange,
              STATUS_BAD_REQUEST,
              "invalid_order",
              "kind is load or unload with a model, or role with a role");
      case LOADING -> {
        weightFetcher.fetch(order).thenAccept(fetched -> orderProcessor.finishLoad(order, fetched));
        exchange.respondJson(STATUS_ACCEPTED, state());
      }
      case APPLIED -> exchange.respondJson(STATUS_OK, state());
      default -> throw new IllegalStateException("unknown outcome " + outcome);
    }
  }

  private EngineBodies.Load load() {
    LoadReport report = model.delayedLoad(timers().now());
    return new EngineBodies.Load(
        cacheApi.wallMillis(report.time()),
        report.running(),
        report.waiting(),
        report.waitingPrefillTokens(),
        report.cachedBlocks(),
        settings.options().cacheBlocks(),
        settings.options().batchLimit());
  }

  private EngineBodies.State state() {
    return new EngineBodies.State(
        settings.name(),
        settings.dataCentre(),
        orderProcessor.role(),
        settings.checkFence(),
        orderProcessor.highestFence(),
        faults().leaving(),
        orderProcessor.models());
  }

  @Override
  protected Object counts(HttpExchange exchange) {
    runSteps();
    boolean totalsOnly = "false".equals(exchange.query().get("requests"));
    return new EngineBodies.Counts(
        settings.name(),
        settings.dataCentre(),
        model.totalCounts(),
        executionsWhileDraining,
        TimeUnit.NANOSECONDS.toMillis(latestAfterDrainStart),
        orderProcessor.handled(),
        totalsOnly ? null : model.countsById());
  }

  @Override
  protected void onFaultsChanged(EngineFaults changed) {
    long now = timers().now();
    runSteps();
    model.slowFactor(changed.slowFactor());
    if (!changed.leaving()) {
      drainingSince = null;
    } else if (drainingSince == null) {
      drainingSince = now;
    }
    if (changed.crash()) {
      completions.clear();
      model.cancelAll(now);
    }
  }
}
