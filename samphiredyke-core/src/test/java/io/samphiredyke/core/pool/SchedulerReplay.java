package io.samphiredyke.core.pool;

import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.core.serving.ServingConfiguration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.DoubleFunction;
import java.util.function.Predicate;

/** Runs drawn arrivals on the production scheduler against engines of different speeds. */
final class SchedulerReplay implements PoolListener {

  static final int SLOTS = 4;

  private static final long MILLI = 1_000_000;
  private static final long TICK = 15 * MILLI;
  private static final long START_LIMIT_MILLIS = 1_900;

  /** A class of requests with its mean sizes, its share of the arrivals and its objective. */
  record RequestClass(
      int rank, int promptTokens, int outputTokens, double share, int objectiveMillis) {}

  /** A request with its outcome. */
  static final class Arrival {
    final String customer;
    final RequestClass requestClass;
    final long at;
    boolean isOnTime;
    boolean isLate;
    boolean isRefused;

    Arrival(String customer, RequestClass requestClass, long at) {
      this.customer = customer;
      this.requestClass = requestClass;
      this.at = at;
    }
  }

  private record Event(long at, Runnable action) {}

  final PoolScheduler scheduler =
      new PoolScheduler(new PoolOptions(0.2, 50, 0, 0, 300), this, new SplittableRandom(5));
  int peakRunningPerEngine;

  private final List<RequestClass> requestClasses;
  private final double[] latencyFactors;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
  private final Map<Long, Arrival> arrivals = new HashMap<>();
  private final Map<String, Integer> running = new HashMap<>();
  private long now;
  private long nextId = 1;

  /**
   * Creates a replay without arrivals.
   *
   * @param latencyFactors factors of the engines' times, assigned to the engines in turn
   */
  SchedulerReplay(
      ServingConfiguration configuration,
      List<RequestClass> requestClasses,
      int engines,
      double... latencyFactors) {
    this.requestClasses = requestClasses;
    this.latencyFactors = latencyFactors;
    scheduler.configure(configuration, 0);
    for (int i = 0; i < engines; i++) {
      scheduler.put(
          new EndpointRecord("e" + i, "s", "10.0.0." + i + ":1", "a", SLOTS, false, 0, 1, 0), 0);
    }
  }

  /** Adds Poisson arrivals of a customer at a rate between two times, milliseconds. */
  void addArrivals(String customer, long from, long until, double perSecond, long seed) {
    addArrivals(customer, this::draw, from, until, perSecond, seed);
  }

  /** Adds arrivals of classes that are chosen by a number drawn from 0 to 1. */
  void addArrivals(
      String customer,
      DoubleFunction<RequestClass> choice,
      long from,
      long until,
      double perSecond,
      long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    double at = from;
    while (at < until) {
      at += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
      RequestClass requestClass = choice.apply(random.nextDouble());
      double size = Math.min(6, Math.exp(random.nextGaussian() * 0.8 - 0.32));
      long arrival = (long) (at * MILLI);
      events.add(new Event(arrival, () -> arrive(customer, requestClass, size)));
    }
  }

  private RequestClass draw(double drawn) {
    double left = drawn;
    for (RequestClass each : requestClasses) {
      left -= each.share();
      if (left < 0) {
        return each;
      }
    }
    return requestClasses.get(requestClasses.size() - 1);
  }

  /** Runs all events. */
  void run() {
    long nextTick = 0;
    while (!events.isEmpty()) {
      Event event = events.poll();
      while (nextTick < event.at()) {
        now = nextTick;
        scheduler.tick(now);
        nextTick += TICK;
      }
      now = event.at();
      event.action().run();
    }
  }

  /** Returns for which part of some arrivals an outcome holds. */
  double ratio(Predicate<Arrival> condition, Predicate<Arrival> outcome) {
    long all = arrivals.values().stream().filter(condition).count();
    return arrivals.values().stream().filter(condition.and(outcome)).count() / (double) all;
  }

  private void arrive(String customer, RequestClass requestClass, double size) {
    long id = nextId++;
    arrivals.put(id, new Arrival(customer, requestClass, now));
    WorkEstimate work =
        new WorkEstimate(
            (int) Math.max(60, requestClass.promptTokens() * size),
            (int) Math.max(6, requestClass.outputTokens() * size),
            List.of(new PromptPart(id, requestClass.promptTokens())));
    scheduler.submit(
        new SlotRequest(
            id,
            "h",
            "s",
            requestClass.rank(),
            0.3 + 0.7 * size,
            work,
            customer,
            0,
            false,
            Set.of(),
            now + requestClass.objectiveMillis() * MILLI,
            now + START_LIMIT_MILLIS * MILLI),
        now);
  }

  @Override
  public void granted(SlotRequest request, String endpointId) {
    int index = Integer.parseInt(endpointId.substring(1));
    double latencyFactor = latencyFactors[index % latencyFactors.length];
    int concurrency = running.merge(endpointId, 1, Integer::sum);
    peakRunningPerEngine = Math.max(peakRunningPerEngine, concurrency);
    WorkEstimate work = request.estimate();
    double prefill = LatencyModel.prefillMillis(work.promptTokens(), work.promptTokens());
    double first = latencyFactor * (18 + prefill * (1 + 0.3 * (concurrency - 1)));
    double total =
        first + latencyFactor * LatencyModel.decodeMillis(work.outputTokens(), concurrency);
    long startAt = now + (long) (first * MILLI);
    long endAt = now + (long) (total * MILLI);
    events.add(
        new Event(startAt, () -> scheduler.firstEvent("s", endpointId, request.id(), first)));
    events.add(new Event(endAt, () -> finish(request, endpointId, startAt, total)));
  }

  private void finish(SlotRequest request, String endpointId, long startAt, double total) {
    running.merge(endpointId, -1, Integer::sum);
    Arrival arrival = arrivals.get(request.id());
    arrival.isOnTime = startAt <= request.objectiveDeadline();
    arrival.isLate = !arrival.isOnTime;
    scheduler.release("s", endpointId, request.id(), Outcome.SERVED, total, now);
  }

  @Override
  public void refused(SlotRequest request, SlotRefusal refusal) {
    arrivals.get(request.id()).isRefused = true;
  }
}
