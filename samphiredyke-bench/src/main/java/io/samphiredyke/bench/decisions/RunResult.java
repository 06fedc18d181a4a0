package io.samphiredyke.bench.decisions;

import io.samphiredyke.standins.engine.RequestCounts;
import java.util.List;

/**
 * The figures of one run.
 *
 * @param scenario what was run
 * @param policy how requests were brought to engines
 * @param tally outcomes by tier
 * @param counts what the engines did, the drain after the last arrival included
 * @param countsAtEnd what the engines had done when the arrivals ended
 * @param workAtEnd useful work done when the arrivals ended
 * @param capacityWork work that the engines can do in the time of the arrivals
 * @param workByEngine useful work by engine when the arrivals ended
 * @param engines the engines
 */
record RunResult(
    Scenario scenario,
    String policy,
    Tally tally,
    RequestCounts counts,
    RequestCounts countsAtEnd,
    double workAtEnd,
    double capacityWork,
    List<Double> workByEngine,
    List<BenchEngine> engines) {

  private static final double MICROS_PER_SECOND = 1e6;
  private static final double MICROS_PER_MILLI = 1e3;

  /** Returns the share of a tier's requests that were answered in time. */
  double goodput(int tier) {
    Tally.Tier counted = tally.tier(tier);
    return counted.offered == 0 ? 1 : (double) counted.good / counted.offered;
  }

  /** Returns the useful work done divided by the smaller of what was offered and can be done. */
  double totalGoodput() {
    return workAtEnd / Math.min(capacityWork, tally.offeredWork());
  }

  double wastedPrefill() {
    return (double) counts.wastedPrefillTokens() / Math.max(1, counts.prefilledTokens());
  }

  double cachedShare() {
    double all = counts.prefilledTokens() + counts.cachedTokens();
    return counts.cachedTokens() / Math.max(1, all);
  }

  double firstTokenSeconds(double percentile) {
    return tally.attainableFirstToken().getValueAtPercentile(percentile) / MICROS_PER_SECOND;
  }

  double firstTokenSeconds(int tier, double percentile) {
    return tally.tier(tier).firstToken.getValueAtPercentile(percentile) / MICROS_PER_SECOND;
  }

  double tokenGapMillis(double percentile) {
    return tally.tokenGap().getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  /** Returns the slowest engine's share of the work divided by its share of the speed. */
  double slowestShare() {
    double speeds = 0;
    int slowest = 0;
    for (int index = 0; index < engines.size(); index++) {
      speeds += engines.get(index).profile().speed();
      if (engines.get(index).profile().speed() < engines.get(slowest).profile().speed()) {
        slowest = index;
      }
    }
    double work = workByEngine.stream().mapToDouble(Double::doubleValue).sum();
    double share = workByEngine.get(slowest) / work;
    return share / (engines.get(slowest).profile().speed() / speeds);
  }
}
