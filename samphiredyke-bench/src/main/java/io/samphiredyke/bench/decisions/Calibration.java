package io.samphiredyke.bench.decisions;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Measures the capacity of engines: the maximum work per second of an engine at constant
 * concurrency, while the 95th percentile of the token gap stays within the target.
 */
final class Calibration {

  private static final double RUN_SECONDS = 120;
  private static final double WARM_UP_SECONDS = 20;
  private static final int[] CONCURRENCY_LEVELS = {
    2, 3, 4, 6, 8, 11, 14, 18, 23, 28, 34, 40, 48, 56, 64
  };
  private static final double TOKEN_GAP_TARGET_MILLIS = 54;
  private static final double MICROS_PER_MILLI = 1e3;
  private static final int GENERATED_REQUESTS = 40_000;

  private final long seed;
  private final Map<String, Double> capacityBySpeed = new HashMap<>();

  Calibration(long seed) {
    this.seed = seed;
  }

  /** Returns the combined capacity of all engines of a workload, in work per second. */
  synchronized double capacity(WorkloadKind kind) {
    return kind.engines().stream().mapToDouble(engine -> capacity(kind, engine)).sum();
  }

  /** Returns the capacity of one engine, in work per second. */
  synchronized double capacity(WorkloadKind kind, EngineProfile engine) {
    return capacityBySpeed.computeIfAbsent(
        kind + " " + engine.speed(), key -> measure(kind, engine));
  }

  private double measure(WorkloadKind kind, EngineProfile profile) {
    double best = 0;
    for (int concurrency : CONCURRENCY_LEVELS) {
      ClosedLoop loop = new ClosedLoop(kind, profile, concurrency);
      double work = loop.run();
      if (loop.tokenGapMillis() <= TOKEN_GAP_TARGET_MILLIS) {
        best = Math.max(best, work);
      }
    }
    return best;
  }

  /** Closed loop that keeps a constant number of requests running on one engine. */
  private final class ClosedLoop implements RequestRun.Observer {

    private final SimulatedClock clock = new SimulatedClock();
    private final OutcomeStatistics statistics = new OutcomeStatistics();
    private final SimulatedEngine engine;
    private final int concurrency;
    private final Deque<Arrival> arrivals;

    ClosedLoop(WorkloadKind kind, EngineProfile profile, int concurrency) {
      this.concurrency = concurrency;
      engine = new SimulatedEngine(profile, clock);
      arrivals = new ArrayDeque<>(new Workload(kind, seed).arrivals(GENERATED_REQUESTS, 1));
    }

    double run() {
      for (int index = 0; index < concurrency; index++) {
        startNext();
      }
      clock.advanceTo(SimulatedClock.seconds(WARM_UP_SECONDS));
      double workAtStart = engine.workDone();
      clock.advanceTo(SimulatedClock.seconds(RUN_SECONDS));
      return (engine.workDone() - workAtStart) / (RUN_SECONDS - WARM_UP_SECONDS);
    }

    double tokenGapMillis() {
      return statistics.tokenGap().getValueAtPercentile(95) / MICROS_PER_MILLI;
    }

    private void startNext() {
      Arrival next = arrivals.poll();
      if (next == null) {
        return;
      }
      Arrival restarted = next.withoutDeadline(clock.now());
      RequestRun run = new RequestRun(restarted, clock, statistics);
      run.observe(this);
      run.dispatch(engine);
    }

    @Override
    public void ended(RequestRun run) {
      startNext();
    }
  }
}
