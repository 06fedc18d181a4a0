package io.samphiredyke.bench.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What happened to the requests of one run, by tier. */
final class Tally {

  static final int TIERS = 4;

  private static final long HIGHEST_MICROS = 600_000_000L;
  private static final int DIGITS = 3;
  private static final long NANOS_PER_MICRO = 1_000;

  /** Counts of one tier. */
  static final class Tier {
    long offered;
    long good;
    long refused;
    long missed;
    double offeredWork;
    double goodWork;
    final Histogram firstToken = new Histogram(HIGHEST_MICROS, DIGITS);
    final Histogram tokenGap = new Histogram(HIGHEST_MICROS, DIGITS);
  }

  private final List<Tier> tiers = new ArrayList<>();
  private final Map<String, Integer> reasons = new TreeMap<>();
  private final Histogram attainableFirstToken = new Histogram(HIGHEST_MICROS, DIGITS);
  private final Histogram tokenGap = new Histogram(HIGHEST_MICROS, DIGITS);
  private int inversions;
  private boolean counting = true;

  Tally() {
    for (int rank = 0; rank < TIERS; rank++) {
      tiers.add(new Tier());
    }
  }

  Tier tier(int rank) {
    return tiers.get(rank);
  }

  Map<String, Integer> reasons() {
    return reasons;
  }

  int inversions() {
    return inversions;
  }

  void inversion() {
    inversions++;
  }

  Histogram attainableFirstToken() {
    return attainableFirstToken;
  }

  Histogram tokenGap() {
    return tokenGap;
  }

  /** Requests that arrive from now on are not counted. */
  void stopCounting() {
    counting = false;
  }

  /** Returns whether a request that arrives now is counted. */
  boolean isCounting() {
    return counting;
  }

  void offered(Arrival arrival) {
    Tier tier = tiers.get(arrival.tierRank());
    tier.offered++;
    tier.offeredWork += arrival.work();
  }

  void completed(Arrival arrival, long now) {
    Tier tier = tiers.get(arrival.tierRank());
    tier.good++;
    tier.goodWork += arrival.work();
  }

  void refused(Arrival arrival, String reason) {
    tiers.get(arrival.tierRank()).refused++;
    reasons.merge(arrival.tierRank() + ":" + reason, 1, Integer::sum);
  }

  void missed(Arrival arrival, boolean dispatched) {
    tiers.get(arrival.tierRank()).missed++;
    String reason = dispatched ? "LATE" : "LATE_UNDISPATCHED";
    reasons.merge(arrival.tierRank() + ":" + reason, 1, Integer::sum);
  }

  void firstToken(RequestRun run, long nanos) {
    Arrival arrival = run.arrival();
    tiers.get(arrival.tierRank()).firstToken.recordValue(nanos / NANOS_PER_MICRO);
    if (isAttainable(arrival)) {
      attainableFirstToken.recordValue(nanos / NANOS_PER_MICRO);
    }
  }

  void tokenGap(RequestRun run, long nanos) {
    tiers.get(run.arrival().tierRank()).tokenGap.recordValue(nanos / NANOS_PER_MICRO);
    tokenGap.recordValue(nanos / NANOS_PER_MICRO);
  }

  double goodWork() {
    return tiers.stream().mapToDouble(tier -> tier.goodWork).sum();
  }

  double offeredWork() {
    return tiers.stream().mapToDouble(tier -> tier.offeredWork).sum();
  }

  /** Returns whether a fast engine can prefill the whole prompt in half the target. */
  private static boolean isAttainable(Arrival arrival) {
    return arrival.prompt().tokens() / EngineProfile.REFERENCE_PREFILL_RATE < 0.4;
  }
}
