package io.samphiredyke.core.rollout;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Tells whether the endpoints of a new software version show a fault more often than those of the
 * old one, for a reason that is common to them.
 */
final class FaultComparison {

  /** Times over which the old version's rate is averaged; the short one follows an onset. */
  private static final double BASELINE_SECONDS = 3;

  private static final double ONSET_SECONDS = 0.5;

  /** Time over which the rates of endpoints of the old version count. */
  private static final double OLD_ENDPOINT_SECONDS = 1;

  /** Time over which the rates of endpoints of the new version, which get few requests, count. */
  private static final double NEW_ENDPOINT_SECONDS = 20;

  /** Share by which the expected rate exceeds the old version's, for its uncertainty. */
  private static final double RELATIVE_MARGIN = 1.25;

  private static final double ABSOLUTE_MARGIN = 0.02;

  /** Answers of the old version that are needed before its rate is compared with. */
  private static final double MIN_BASELINE = 10;

  /** Recent answers of the old version that are needed. */
  private static final double MIN_RECENT = 4;

  /** Rate from which an endpoint counts as faulty. */
  private static final double FAULTY_RATE = 0.1;

  /** Standard errors by which the share of faulty endpoints must exceed the old version's. */
  private static final double SIGNIFICANCE = 2.5;

  /** Share of faulty endpoints of the old version from which they say little. */
  private static final double MANY = 0.5;

  /** Share of faulty endpoints that is sufficient if fewer of the old version are faulty. */
  private static final double NEARLY_ALL = 0.95;

  /** Bound of the endpoints that are distinguished. */
  private static final int MAX_ENDPOINTS = 2_000;

  /** Recent answers that are needed, so that a single fault is no trouble. */
  private static final double MIN_DISTURBED = 12;

  /** Rate of the old version from which a stage is prolonged. */
  private static final double DISTURBED_RATE = 0.1;

  private final boolean dependsOnEndpoint;
  private final double leastShare;
  private final DecayingRate baseline = new DecayingRate(BASELINE_SECONDS);
  private final DecayingRate onset = new DecayingRate(ONSET_SECONDS);
  private final ChangeDetector detector = new ChangeDetector();
  private final Map<String, DecayingRate> oldEndpoints = new HashMap<>();
  private final Map<String, DecayingRate> newEndpoints = new HashMap<>();

  /**
   * Creates a comparison without answers.
   *
   * @param dependsOnEndpoint whether sound endpoints differ in the rate of the fault, so that only
   *     the number of endpoints that show it is evidence
   * @param leastShare share of the new version's endpoints that must show it
   */
  FaultComparison(boolean dependsOnEndpoint, double leastShare) {
    this.leastShare = leastShare;
    this.dependsOnEndpoint = dependsOnEndpoint;
  }

  void oldAnswered(String endpointId, boolean isFaulty, long now) {
    baseline.add(isFaulty, now);
    onset.add(isFaulty, now);
    add(oldEndpoints, endpointId, OLD_ENDPOINT_SECONDS, isFaulty, now);
  }

  private static void add(
      Map<String, DecayingRate> endpoints,
      String endpointId,
      double seconds,
      boolean isFaulty,
      long now) {
    if (endpoints.size() < MAX_ENDPOINTS || endpoints.containsKey(endpointId)) {
      endpoints.computeIfAbsent(endpointId, id -> new DecayingRate(seconds)).add(isFaulty, now);
    }
  }

  /**
   * Returns whether the old version shows the fault so often that little is seen of the new one.
   */
  boolean isDisturbed(long now) {
    boolean isKnown = onset.weight(now) >= MIN_DISTURBED;
    double recent = isKnown ? onset.rate(now) : 0;
    return Math.max(baseline.rate(now), recent) >= DISTURBED_RATE;
  }

  /** Records an answer of the new version; returns a description if the version is worse. */
  @Nullable String newAnswered(String endpointId, boolean isFaulty, int endpoints, long now) {
    if (baseline.weight(now) < MIN_BASELINE || onset.weight(now) < MIN_RECENT) {
      return null;
    }
    add(newEndpoints, endpointId, NEW_ENDPOINT_SECONDS, isFaulty, now);
    double expected = expectedRate(now);
    detector.observe(isFaulty, expected);
    boolean isUncertain = !dependsOnEndpoint && isDisturbed(now) && !detector.isCertain();
    if (!detector.hasDetected() || isUncertain || !isCommon(endpoints, now)) {
      return null;
    }
    return String.format(
        Locale.ROOT,
        "sum %.1f, %.0f of %d endpoints, baseline rate %.3f",
        detector.sum(),
        faulty(newEndpoints, now),
        endpoints,
        expected);
  }

  /** Returns the rate of the old version at present, with a margin for its uncertainty. */
  private double expectedRate(long now) {
    double rate = baseline.rate(now);
    double recent = onset.rate(now);
    if (recent > rate) {
      double weight = Math.max(1, onset.weight(now));
      rate = recent + Math.sqrt(recent * (1 - recent) / weight);
    }
    double margin = dependsOnEndpoint ? 1 : RELATIVE_MARGIN;
    return rate * margin + ABSOLUTE_MARGIN;
  }

  /** Returns whether the fault is one of the version, not of some of its endpoints. */
  private boolean isCommon(int endpoints, long now) {
    double oldCount = oldEndpoints.size();
    double oldShare = (faulty(oldEndpoints, now) + 0.5) / (oldCount + 1);
    double error =
        Math.sqrt(oldShare * (1 - oldShare) * (1 / (oldCount + 1) + 1.0 / Math.max(1, endpoints)));
    double needed = oldShare + SIGNIFICANCE * error;
    if (oldShare >= MANY) {
      return dependsOnEndpoint
          ? faulty(newEndpoints, now) / newEndpoints.size() >= Math.min(1, needed)
          : detector.isCertain();
    }
    needed = Math.max(leastShare, Math.min(NEARLY_ALL, needed));
    return faulty(newEndpoints, now) / newEndpoints.size() >= needed
        && newEndpoints.size() >= Math.min(endpoints, 3);
  }

  private static double faulty(Map<String, DecayingRate> endpoints, long now) {
    int count = 0;
    for (DecayingRate rate : endpoints.values()) {
      count += rate.rate(now) >= FAULTY_RATE ? 1 : 0;
    }
    return count;
  }
}
