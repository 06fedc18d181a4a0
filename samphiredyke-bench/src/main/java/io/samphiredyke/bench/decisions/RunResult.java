package io.samphiredyke.bench.decisions;

import io.samphiredyke.standins.engine.RequestCounts;
import java.util.Collections;
import java.util.List;

/**
 * Results of one run.
 *
 * @param scenario scenario of the run
 * @param policy name of the dispatch policy
 * @param statistics outcomes and latencies by tier
 * @param counts request and token counts of the engines
 * @param achievableWork offered work of the measured time, capped at the capacity of the engines
 * @param workByEngine completed work of each engine in the measured time
 * @param capacities capacity of each engine, in work per second
 */
record RunResult(
    Scenario scenario,
    String policy,
    OutcomeStatistics statistics,
    RequestCounts counts,
    double achievableWork,
    List<Double> workByEngine,
    List<Double> capacities) {

  private static final double MICROS_PER_SECOND = 1e6;
  private static final double MICROS_PER_MILLI = 1e3;

  /** Returns the fraction of a tier's requests that completed before their deadline. */
  double goodput(int tier) {
    OutcomeStatistics.TierStatistics tierStatistics = statistics.tier(tier);
    return tierStatistics.offered == 0 ? 1 : (double) tierStatistics.good / tierStatistics.offered;
  }

  /** Returns the completed work divided by the smaller of the offered work and the capacity. */
  double totalGoodput() {
    return workByEngine.stream().mapToDouble(Double::doubleValue).sum() / achievableWork;
  }

  double wastedPrefill() {
    return (double) counts.wastedPrefillTokens() / Math.max(1, counts.prefilledTokens());
  }

  double cachedShare() {
    double all = counts.prefilledTokens() + counts.cachedTokens();
    return counts.cachedTokens() / Math.max(1, all);
  }

  double firstTokenSeconds(double percentile) {
    return statistics.attainableFirstToken().getValueAtPercentile(percentile) / MICROS_PER_SECOND;
  }

  double firstTokenSeconds(int tier, double percentile) {
    return statistics.tier(tier).firstToken.getValueAtPercentile(percentile) / MICROS_PER_SECOND;
  }

  double tokenGapMillis(double percentile) {
    return statistics.tokenGap().getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  /** Returns the slowest engine's share of the work divided by its share of the capacity. */
  double slowestShare() {
    int slowest = capacities.indexOf(Collections.min(capacities));
    double work = workByEngine.stream().mapToDouble(Double::doubleValue).sum();
    double totalCapacity = capacities.stream().mapToDouble(Double::doubleValue).sum();
    return workByEngine.get(slowest) / work / (capacities.get(slowest) / totalCapacity);
  }
}
