package io.samphiredyke.bench.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Outcomes and latencies of the requests of one run, by tier. */
final class OutcomeStatistics {

  static final int TIERS = 4;

  private static final long MAX_TRACKED_MICROS = 600_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final long NANOS_PER_MICRO = 1_000;

  /** Counts and latency histograms of one tier. */
  static final class TierStatistics {
    long offered;
    long good;
    long refused;
    long missed;
    double offeredWork;
    double goodWork;
    final Histogram firstToken = new Histogram(MAX_TRACKED_MICROS, SIGNIFICANT_DIGITS);
    final Histogram tokenGap = new Histogram(MAX_TRACKED_MICROS, SIGNIFICANT_DIGITS);
  }

  private final List<TierStatistics> tiers = new ArrayList<>();
  private final Map<String, Integer> reasons = new TreeMap<>();
  private final Histogram attainableFirstToken =
      new Histogram(MAX_TRACKED_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram tokenGap = new Histogram(MAX_TRACKED_MICROS, SIGNIFICANT_DIGITS);
  private int inversions;
  private boolean counting = true;

  OutcomeStatistics() {
    for (int rank = 0; rank < TIERS; rank++) {
      tiers.add(new TierStatistics());
    }
  }

  TierStatistics tier(int rank) {
    return tiers.get(rank);
  }

  Map<String, Integer> reasons() {
    return reasons;
  }

  int inversions() {
    return inversions;
  }

  void recordInversion() {
    inversions++;
  }

  Histogram attainableFirstToken() {
    return attainableFirstToken;
  }

  Histogram tokenGap() {
    return tokenGap;
  }

  /** Excludes requests that arrive from now on. */
  void stopCounting() {
    counting = false;
  }

  /** Returns whether a request that arrives now is included. */
  boolean isCounting() {
    return counting;
  }

  void recordOffered(Arrival arrival) {
    TierStatistics tier = tiers.get(arrival.tierRank());
    tier.offered++;
    tier.offeredWork += arrival.work();
  }

  void recordCompleted(Arrival arrival, long now) {
    TierStatistics tier = tiers.get(arrival.tierRank());
    tier.good++;
    tier.goodWork += arrival.work();
  }

  void recordRefused(Arrival arrival, String reason) {
    tiers.get(arrival.tierRank()).refused++;
    reasons.merge(arrival.tierRank() + ":" + reason, 1, Integer::sum);
  }

  void recordMissed(Arrival arrival, boolean dispatched) {
    tiers.get(arrival.tierRank()).missed++;
    String reason = dispatched ? "LATE" : "LATE_UNDISPATCHED";
    reasons.merge(arrival.tierRank() + ":" + reason, 1, Integer::sum);
  }

  void recordFirstToken(RequestRun run, long nanos) {
    Arrival arrival = run.arrival();
    tiers.get(arrival.tierRank()).firstToken.recordValue(nanos / NANOS_PER_MICRO);
    if (isFirstTokenTargetAttainable(arrival)) {
      attainableFirstToken.recordValue(nanos / NANOS_PER_MICRO);
    }
  }

  void recordTokenGap(RequestRun run, long nanos) {
    tiers.get(run.arrival().tierRank()).tokenGap.recordValue(nanos / NANOS_PER_MICRO);
    tokenGap.recordValue(nanos / NANOS_PER_MICRO);
  }

  double goodWork() {
    return tiers.stream().mapToDouble(tier -> tier.goodWork).sum();
  }

  double offeredWork() {
    return tiers.stream().mapToDouble(tier -> tier.offeredWork).sum();
  }

  /** Returns whether a fast engine can prefill the whole prompt in half the target latency. */
  private static boolean isFirstTokenTargetAttainable(Arrival arrival) {
    return arrival.prompt().tokens() / EngineProfile.REFERENCE_PREFILL_RATE < 0.4;
  }
}
