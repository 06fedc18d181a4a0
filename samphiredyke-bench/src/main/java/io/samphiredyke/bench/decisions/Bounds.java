package io.samphiredyke.bench.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Regression bounds on the results of the production policy. */
final class Bounds {

  private static final double TOP_TIER_GOODPUT = 0.99;
  private static final double TOTAL_GOODPUT = 0.90;
  private static final double WASTED_PREFILL = 0.01;
  private static final double WASTED_PREFILL_SHARE_OF_BASELINE = 0.1;
  private static final double OVERLOAD_FACTOR = 3;

  private Bounds() {}

  /**
   * Returns the bounds that the results of one scenario violate.
   *
   * @param results the results by policy, the production policy first
   */
  static List<String> violations(List<RunResult> results) {
    List<String> violations = new ArrayList<>();
    RunResult production = results.get(0);
    if (production.scenario().fault() != Scenario.Fault.NONE) {
      return violations;
    }
    check(violations, production, production.statistics().inversions() == 0, "tier inversions", 0);
    check(
        violations,
        production,
        production.wastedPrefill() <= WASTED_PREFILL,
        "wasted prefill",
        production.wastedPrefill());
    check(
        violations,
        production,
        production.goodput(0) >= TOP_TIER_GOODPUT,
        "goodput of the top tier",
        production.goodput(0));
    check(
        violations,
        production,
        production.totalGoodput() >= TOTAL_GOODPUT,
        "total goodput",
        production.totalGoodput());
    if (production.scenario().load() >= OVERLOAD_FACTOR && results.size() > 1) {
      double lowestWaste = lowestBaselineWaste(results);
      boolean met = production.wastedPrefill() <= lowestWaste * WASTED_PREFILL_SHARE_OF_BASELINE;
      check(
          violations,
          production,
          met,
          "wasted prefill by the best baseline's",
          production.wastedPrefill() / lowestWaste);
    }
    return violations;
  }

  /** Returns the lowest wasted prefill among the policies that queue requests in the engines. */
  private static double lowestBaselineWaste(List<RunResult> results) {
    return results.stream()
        .filter(result -> DecisionBench.isBaseline(result.policy()))
        .mapToDouble(RunResult::wastedPrefill)
        .min()
        .orElse(1);
  }

  private static void check(
      List<String> violations, RunResult production, boolean met, String name, double value) {
    if (!met) {
      violations.add(
          String.format(Locale.ROOT, "%s: %s is %.4f", production.scenario().name(), name, value));
    }
  }
}
