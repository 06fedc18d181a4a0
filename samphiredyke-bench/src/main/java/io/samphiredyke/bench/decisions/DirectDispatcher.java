package io.samphiredyke.bench.decisions;

import io.samphiredyke.standins.engine.LoadReport;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/** Dispatcher that sends each request to an engine immediately, so that requests queue there. */
final class DirectDispatcher implements Dispatcher {

  /** Selects one of the live engines. */
  @FunctionalInterface
  interface Selector {

    SimulatedEngine select(List<SimulatedEngine> live);
  }

  private final List<SimulatedEngine> engines;
  private final Selector selector;

  DirectDispatcher(List<SimulatedEngine> engines, Selector selector) {
    this.engines = engines;
    this.selector = selector;
  }

  static Dispatcher roundRobin(
      List<SimulatedEngine> engines,
      SimulatedClock clock,
      OutcomeStatistics statistics,
      long seed) {
    int[] next = new int[1];
    return new DirectDispatcher(engines, live -> live.get(next[0]++ % live.size()));
  }

  static Dispatcher leastLoaded(
      List<SimulatedEngine> engines,
      SimulatedClock clock,
      OutcomeStatistics statistics,
      long seed) {
    Random random = new Random(seed);
    Comparator<SimulatedEngine> byLoad = Comparator.comparingInt(each -> reportedLoad(each, clock));
    return new DirectDispatcher(
        engines,
        live -> {
          int offset = random.nextInt(live.size());
          SimulatedEngine best = live.get(offset);
          for (int index = 1; index < live.size(); index++) {
            SimulatedEngine other = live.get((offset + index) % live.size());
            best = byLoad.compare(other, best) < 0 ? other : best;
          }
          return best;
        });
  }

  static Dispatcher randomTwo(
      List<SimulatedEngine> engines,
      SimulatedClock clock,
      OutcomeStatistics statistics,
      long seed) {
    Random random = new Random(seed);
    return new DirectDispatcher(
        engines,
        live -> {
          SimulatedEngine first = live.get(random.nextInt(live.size()));
          SimulatedEngine second = live.get(random.nextInt(live.size()));
          return reportedLoad(second, clock) < reportedLoad(first, clock) ? second : first;
        });
  }

  private static int reportedLoad(SimulatedEngine engine, SimulatedClock clock) {
    LoadReport report = engine.model().delayedLoad(clock.now());
    return report.running() + report.waiting();
  }

  @Override
  public void arrive(RequestRun run) {
    List<SimulatedEngine> live = engines.stream().filter(engine -> !engine.isCrashed()).toList();
    run.dispatch(selector.select(live));
  }
}
