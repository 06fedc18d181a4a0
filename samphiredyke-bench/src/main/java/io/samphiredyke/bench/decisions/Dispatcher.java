package io.samphiredyke.bench.decisions;

import java.util.List;

/** A way to bring requests to engines. */
interface Dispatcher {

  /** Takes a request that has just arrived. */
  void arrive(RequestRun run);

  /** The process that holds the given entry's requests dies. */
  default void entryDies(int index) {}

  /** Makes a dispatcher over engines. */
  @FunctionalInterface
  interface Factory {

    Dispatcher create(List<BenchEngine> engines, ModelClock clock, Tally tally, long seed);
  }
}
