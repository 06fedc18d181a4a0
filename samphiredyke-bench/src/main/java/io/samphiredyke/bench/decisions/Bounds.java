package io.samphiredyke.bench.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Regression bounds on the figures of the production decisions. */
final class Bounds {

  private static final double TOP_TIER_GOODPUT = 0.99;
  private static final double TOTAL_GOODPUT = 0.90;
  private static final double WASTED_PREFILL = 0.01;
  private static final double WASTED_PREFILL_SHARE_OF_BASELINE = 0.1;
  private static final double OVERLOAD = 3;

  private Bounds() {}

  /**
   * Returns the bounds that the results of one scenario break.
   *
   * @param results the results by policy, the production policy first
   */
  static List<String> broken(List<RunResult> results) {
    List<String> broken = new ArrayList<>();
    RunResult own = results.get(0);
    if (own.scenario().fault() != Scenario.Fault.NONE) {
      return broken;
    }
    require(broken, own, own.tally().inversions() == 0, "tier inversions", 0);
    require(
        broken, own, own.wastedPrefill() <= WASTED_PREFILL, "wasted prefill", own.wastedPrefill());
    require(
        broken, own, own.goodput(0) >= TOP_TIER_GOODPUT, "goodput of the top tier", own.goodput(0));
    require(broken, own, own.totalGoodput() >= TOTAL_GOODPUT, "total goodput", own.totalGoodput());
    if (own.scenario().load() >= OVERLOAD && results.size() > 1) {
      double best = bestWaste(results);
      boolean met = own.wastedPrefill() <= best * WASTED_PREFILL_SHARE_OF_BASELINE;
      require(
          broken, own, met, "wasted prefill by the best baseline's", own.wastedPrefill() / best);
    }
    return broken;
  }

  /** Returns the least wasted prefill of the policies that queue in the engines. */
  private static double bestWaste(List<RunResult> results) {
    return results.stream()
        .filter(result -> DecisionBench.isBaseline(result.policy()))
        .mapToDouble(RunResult::wastedPrefill)
        .min()
        .orElse(1);
  }

  private static void require(
      List<String> broken, RunResult own, boolean met, String what, double value) {
    if (!met) {
      broken.add(String.format(Locale.ROOT, "%s: %s is %.4f", own.scenario().name(), what, value));
    }
  }
}
