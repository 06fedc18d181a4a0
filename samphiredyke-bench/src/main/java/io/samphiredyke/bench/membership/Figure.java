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
record Figure(String scenario, String name, double value, String unit, double bound) {

  static Figure shown(String scenario, String name, double value, String unit) {
    return new Figure(scenario, name, value, unit, Double.POSITIVE_INFINITY);
  }

  static Figure bounded(String scenario, String name, double value, String unit, double bound) {
    return new Figure(scenario, name, value, unit, bound);
  }

  boolean passes() {
    return value <= bound;
  }

  /** One line of a table. */
  String line() {
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
