package io.samphiredyke.bench.decisions;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Measures what the engines can do: the most work a second that one engine does with a fixed number
 * of requests always running, while 95 in 100 times between tokens are within the target.
 */
final class Calibration {

  private static final double SECONDS = 120;
  private static final double WARM_UP_SECONDS = 20;
  private static final int[] CONCURRENCY = {2, 3, 4, 6, 8, 11, 14, 18, 23, 28, 34, 40, 48, 56, 64};
  private static final double TOKEN_GAP_TARGET_MILLIS = 54;
  private static final double MICROS_PER_MILLI = 1e3;
  private static final int PRESTORED_REQUESTS = 40_000;

  private final long seed;
  private final Map<String, Double> bySpeed = new HashMap<>();

  Calibration(long seed) {
    this.seed = seed;
  }

  /** Returns the work a second of all engines of a workload together. */
  synchronized double capacity(WorkloadKind kind) {
    return kind.engines().stream().mapToDouble(engine -> capacity(kind, engine)).sum();
  }

  /** Returns the work a second of one engine. */
  synchronized double capacity(WorkloadKind kind, EngineProfile engine) {
    return bySpeed.computeIfAbsent(kind + " " + engine.speed(), key -> measure(kind, engine));
  }

  private double measure(WorkloadKind kind, EngineProfile profile) {
    double best = 0;
    for (int concurrency : CONCURRENCY) {
      ClosedLoop loop = new ClosedLoop(kind, profile, concurrency);
      double work = loop.run();
      if (loop.tokenGapMillis() <= TOKEN_GAP_TARGET_MILLIS) {
        best = Math.max(best, work);
      }
    }
    return best;
  }

  /** One engine that always runs the same number of requests. */
  private final class ClosedLoop implements RequestRun.Observer {

    private final ModelClock clock = new ModelClock();
    private final Tally tally = new Tally();
    private final BenchEngine engine;
    private final int concurrency;
    private final Deque<Arrival> source;

    ClosedLoop(WorkloadKind kind, EngineProfile profile, int concurrency) {
      this.concurrency = concurrency;
      engine = new BenchEngine(profile, clock);
      source = new ArrayDeque<>(new Workload(kind, seed).arrivals(PRESTORED_REQUESTS, 1));
    }

    double run() {
      for (int index = 0; index < concurrency; index++) {
        startNext();
      }
      clock.advanceTo(ModelClock.seconds(WARM_UP_SECONDS));
      double before = engine.workDone();
      clock.advanceTo(ModelClock.seconds(SECONDS));
      return (engine.workDone() - before) / (SECONDS - WARM_UP_SECONDS);
    }

    double tokenGapMillis() {
      return tally.tokenGap().getValueAtPercentile(95) / MICROS_PER_MILLI;
    }

    private void startNext() {
      Arrival next = source.poll();
      if (next == null) {
        return;
      }
      Arrival now = next.withoutDeadline(clock.now());
      RequestRun run = new RequestRun(now, clock, tally);
      run.observe(this);
      run.dispatch(engine);
    }

    @Override
    public void ended(RequestRun run) {
      startNext();
    }
  }
}
