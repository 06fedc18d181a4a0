package io.samphiredyke.bench.decisions;

import java.util.List;

/** Strategy that assigns requests to engines. */
interface Dispatcher {

  /** Accepts a request that has just arrived. */
  void arrive(RequestRun run);

  /** Handles the crash of the entry process with the given index. */
  default void entryCrashed(int index) {}

  /** Creates a dispatcher for a set of engines. */
  @FunctionalInterface
  interface Factory {

    Dispatcher create(
        List<SimulatedEngine> engines,
        SimulatedClock clock,
        OutcomeStatistics statistics,
        long seed);
  }
}
