package io.samphiredyke.bench.membership;

import java.util.Locale;

/**
 * Measured value with an optional upper bound.
 *
 * @param scenario name of the scenario
 * @param name name of the measured quantity
 * @param value the measured value
 * @param unit unit of the value
 * @param bound largest acceptable value; infinite if the value is only reported
 */
record Measurement(String scenario, String name, double value, String unit, double bound) {

  static Measurement unbounded(String scenario, String name, double value, String unit) {
    return new Measurement(scenario, name, value, unit, Double.POSITIVE_INFINITY);
  }

  static Measurement bounded(
      String scenario, String name, double value, String unit, double bound) {
    return new Measurement(scenario, name, value, unit, bound);
  }

  boolean passes() {
    return value <= bound;
  }

  /** Formats the measurement as one line of a table. */
  String format() {
    String boundText = Double.isInfinite(bound) ? "" : String.format(Locale.ROOT, "<= %.0f", bound);
    String violation = passes() ? "" : "EXCEEDED";
    return String.format(
        Locale.ROOT,
        "%-22s %-44s %10.2f %-14s %-10s %s",
        scenario,
        name,
        value,
        unit,
        boundText,
        violation);
  }
}
