package io.samphiredyke.bench.decisions;

import java.util.Locale;

/**
 * Scenario of a benchmark run.
 *
 * @param kind request mix and engines
 * @param load offered work divided by the capacity of the engines
 * @param seconds length of the run in simulated time
 * @param fault fault injected during the run
 */
record Scenario(WorkloadKind kind, double load, double seconds, Fault fault) {

  /** Fault injected during a run. */
  enum Fault {
    /** No fault. */
    NONE,
    /** The arrival rate doubles for a fifth of the run. */
    BURST,
    /** The fastest engine runs at a quarter of its speed during the middle third of the run. */
    SLOW_ENGINE,
    /** An engine crashes in the middle of the run. */
    ENGINE_DIES,
    /** An entry and the brokers on its host crash in the middle of the run. */
    ENTRY_DIES
  }

  String name() {
    String base = kind.name().toLowerCase(Locale.ROOT) + " x" + load;
    if (fault == Fault.NONE) {
      return base;
    }
    return base + " " + fault.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
