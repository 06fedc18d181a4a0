package io.samphiredyke.bench.decisions;

import java.util.Locale;

/**
 * One run of the bench.
 *
 * @param kind the user's mix and engines
 * @param load offered work divided by what the engines can do
 * @param seconds length of the run in model time
 * @param fault what fails during the run
 */
record Scenario(WorkloadKind kind, double load, double seconds, Fault fault) {

  /** What fails during a run. */
  enum Fault {
    /** Nothing. */
    NONE,
    /** Arrivals come at twice the rate for a fifth of the run. */
    BURST,
    /** The fastest engine works at a quarter of its speed from a third to two thirds of the run. */
    SLOW_ENGINE,
    /** An engine dies in the middle of the run. */
    ENGINE_DIES,
    /** An entry, with the brokers on its host, dies in the middle of the run. */
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
