package io.samphiredyke.bench.membership;

import java.util.Locale;

/**
 * One measured figure.
 *
 * @param scenario what was run
 * @param name what was measured
 * @param value the figure
 * @param unit its unit
 * @param bound largest value that passes; infinite if the figure is only shown
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

  /** One line of a table. */
  String format() {
    String limit = Double.isInfinite(bound) ? "" : String.format(Locale.ROOT, "<= %.0f", bound);
    String verdict = passes() ? "" : "EXCEEDED";
    return String.format(
        Locale.ROOT,
        "%-22s %-44s %10.2f %-14s %-10s %s",
        scenario,
        name,
        value,
        unit,
        limit,
        verdict);
  }
}
