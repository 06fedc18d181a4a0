package io.samphiredyke.bench.decisions;

import io.samphiredyke.standins.engine.LoadReport;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/** Sends each request to an engine at once; the queue is in the engine. */
final class DirectDispatcher implements Dispatcher {

  /** Picks an engine. */
  @FunctionalInterface
  interface Selector {

    BenchEngine select(List<BenchEngine> live);
  }

  private final List<BenchEngine> engines;
  private final Selector selector;

  DirectDispatcher(List<BenchEngine> engines, Selector selector) {
    this.engines = engines;
    this.selector = selector;
  }

  static Dispatcher roundRobin(
      List<BenchEngine> engines, ModelClock clock, Tally tally, long seed) {
    int[] next = new int[1];
    return new DirectDispatcher(engines, live -> live.get(next[0]++ % live.size()));
  }

  static Dispatcher leastLoaded(
      List<BenchEngine> engines, ModelClock clock, Tally tally, long seed) {
    Random random = new Random(seed);
    Comparator<BenchEngine> byLoad = Comparator.comparingInt(each -> reportedLoad(each, clock));
    return new DirectDispatcher(
        engines,
        live -> {
          int offset = random.nextInt(live.size());
          BenchEngine best = live.get(offset);
          for (int index = 1; index < live.size(); index++) {
            BenchEngine other = live.get((offset + index) % live.size());
            best = byLoad.compare(other, best) < 0 ? other : best;
          }
          return best;
        });
  }

  static Dispatcher randomTwo(List<BenchEngine> engines, ModelClock clock, Tally tally, long seed) {
    Random random = new Random(seed);
    return new DirectDispatcher(
        engines,
        live -> {
          BenchEngine first = live.get(random.nextInt(live.size()));
          BenchEngine second = live.get(random.nextInt(live.size()));
          return reportedLoad(second, clock) < reportedLoad(first, clock) ? second : first;
        });
  }

  private static int reportedLoad(BenchEngine engine, ModelClock clock) {
    LoadReport report = engine.model().laggingLoad(clock.now());
    return report.running() + report.waiting();
  }

  @Override
  public void arrive(RequestRun run) {
    List<BenchEngine> live = engines.stream().filter(engine -> !engine.isDead()).toList();
    run.dispatch(selector.select(live));
  }
}
