package io.samphiredyke.standins.engine;

import io.samphiredyke.net.http.HttpExchange;
import io.samphiredyke.standins.server.AbstractStandIn;
import io.samphiredyke.standins.server.StandInRuntime;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * A model engine that serves OpenAI-style chat completions.
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
  private final AnswerStore answers;
  private final OrderBook orders;
  private final CachePages cachePages;
  private final WeightFetcher weights;
  private @Nullable Long leavingSince;
  private long executionsWhileLeaving;
  private long latestAfterLeaving;
  private long unnamedRequests;
  private long armedFor = EngineModel.IDLE;

  private EngineStandIn(StandInRuntime runtime, EngineSettings settings) {
    super(runtime, EngineFaults.class, EngineFaults.NONE);
    this.settings = settings;
    this.model = new EngineModel(settings.options());
    this.answers =
        new AnswerStore(model, timers(), settings.resumeWindow().toNanos(), this::faults);
    this.orders = new OrderBook(settings.checkFence(), settings.role(), settings.models());
    this.cachePages = new CachePages(model, settings, runtime, timers());
    this.weights = new WeightFetcher(settings, runtime, timers());
  }

  /**
   * Starts an engine.
   *
   * @param address where to listen; a port of 0 takes a free one
   * @return the engine; fails with {@link java.net.BindException} when the address is in use
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
      case "GET /v1/cache/events" -> cachePages.events(exchange);
      case "POST /v1/cache/import" ->
          withBody(
              exchange,
              EnginePages.KvBlocks.class,
              body -> cachePages.importBlocks(exchange, body));
      case "POST /v1/orders" ->
          withBody(exchange, Order.class, order -> handleOrder(exchange, order));
      default -> serveByPrefix(exchange, path);
    }
  }

  private void serveByPrefix(HttpExchange exchange, String path) {
    if (path.startsWith(CachePages.EXPORT_PREFIX) && exchange.method().equals("GET")) {
      cachePages.exportBlocks(exchange, path.substring(CachePages.EXPORT_PREFIX.length()));
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
    if (name == null || !orders.hasLoaded(name)) {
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
      answers.read(execution, exchange, chat.stream());
    }
  }

  private long submit(String id, String name, ChatRequest chat) {
    Prompt prompt = Prompt.ofText(name, chat.promptText(), settings.options().blockTokens());
    int limit = chat.answerLimit();
    int length =
        settings.earlyStop() ? AnswerText.of(id, prompt.digest()).lengthWithin(limit) : limit;
    EngineRequest request = new EngineRequest(id, prompt, length);
    long now = timers().now();
    runSteps();
    long execution = model.submit(request, now);
    countIfLeaving(now);
    long seconds = TimeUnit.MILLISECONDS.toSeconds(runtime().clock().millis());
    answers.add(execution, new Answer(request, name, limit, seconds));
    scheduleStep();
    return execution;
  }

  private String requestId(HttpExchange exchange) {
    String id = exchange.header("idempotency-key");
    if (id != null) {
      return id;
    }
    unnamedRequests++;
    return settings.name() + "-" + unnamedRequests;
  }

  private void countIfLeaving(long now) {
    Long since = leavingSince;
    if (since != null) {
      executionsWhileLeaving++;
      latestAfterLeaving = now - since;
    }
  }

  private void runSteps() {
    model.tick(timers().now()).forEach(answers::advance);
    scheduleStep();
  }

  /** Arms a timer for the running step; the one before it, if it was for another time, is void. */
  private void scheduleStep() {
    long next = model.nextStepAt();
    if (next == armedFor) {
      return;
    }
    armedFor = next;
    if (next != EngineModel.IDLE) {
      timers().at(next, () -> stepEnded(next));
    }
  }

  private void stepEnded(long due) {
    if (armedFor == due) {
      armedFor = EngineModel.IDLE;
      runSteps();
    }
  }

  private void resume(HttpExchange exchange, String id) {
    int after = lastEventId(exchange.header("last-event-id"));
    if (after < 0) {
      respondError(
          exchange, STATUS_BAD_REQUEST, "invalid_request_error", "Last-Event-ID is no number");
    } else if (!answers.resume(id, after, exchange)) {
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
    if (answers.cancel(id)) {
      exchange.respondJson(STATUS_OK, new Cancelled(id));
    } else {
      respondError(exchange, STATUS_NOT_FOUND, "request_not_found", "no request " + id);
    }
  }

  private record Cancelled(String cancelled) {}

  private void handleOrder(HttpExchange exchange, Order order) {
    OrderBook.Outcome outcome = orders.apply(order);
    switch (outcome) {
      case FENCED ->
          respondError(
              exchange,
              STATUS_CONFLICT,
              "old_fence",
              "fencing number " + order.fence() + " is below " + orders.highestFence());
      case INVALID ->
          respondError(
              exchange,
              STATUS_BAD_REQUEST,
              "invalid_order",
              "kind is load or unload with a model, or role with a role");
      case LOADING -> {
        weights.fetch(order).thenAccept(fetched -> orders.finishLoad(order, fetched));
        exchange.respondJson(STATUS_ACCEPTED, state());
      }
      case APPLIED -> exchange.respondJson(STATUS_OK, state());
      default -> throw new IllegalStateException("unknown outcome " + outcome);
    }
  }

  private EnginePages.Load load() {
    LoadReport report = model.laggingLoad(timers().now());
    return new EnginePages.Load(
        cachePages.wallMillis(report.time()),
        report.running(),
        report.waiting(),
        report.waitingPrefillTokens(),
        report.cachedBlocks(),
        settings.options().cacheBlocks(),
        settings.options().batchLimit());
  }

  private EnginePages.State state() {
    return new EnginePages.State(
        settings.name(),
        settings.dataCentre(),
        orders.role(),
        settings.checkFence(),
        orders.highestFence(),
        faults().leaving(),
        orders.models());
  }

  @Override
  protected Object counts(HttpExchange exchange) {
    runSteps();
    boolean totalsOnly = "false".equals(exchange.query().get("requests"));
    return new EnginePages.Counts(
        settings.name(),
        settings.dataCentre(),
        model.totalCounts(),
        executionsWhileLeaving,
        TimeUnit.NANOSECONDS.toMillis(latestAfterLeaving),
        orders.handled(),
        totalsOnly ? null : model.countsById());
  }

  @Override
  protected void faultsChanged(EngineFaults changed) {
    long now = timers().now();
    runSteps();
    model.slowFactor(changed.slowFactor());
    if (!changed.leaving()) {
      leavingSince = null;
    } else if (leavingSince == null) {
      leavingSince = now;
    }
    if (changed.crash()) {
      answers.clear();
      model.cancelAll(now);
    }
  }
}
