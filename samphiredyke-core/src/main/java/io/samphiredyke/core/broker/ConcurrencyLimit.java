package io.samphiredyke.core.broker;

import java.util.concurrent.TimeUnit;

/**
 * Adaptive limit of the concurrent requests of an endpoint, learned from the time between tokens.
 *
 * <p>The time between tokens of a continuously batching engine is close to an affine function of
 * the number of streams in the batch. Scaling the limit by target / observed therefore approaches
 * the target from one side, without oscillation. The limit grows only while it is nearly used up.
 */
final class ConcurrencyLimit {

  /** Time over which samples are collected for one update of the limit. */
  private static final long UPDATE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Fraction of the target that the token interval is steered to. */
  private static final double TARGET_SHARE = 0.95;

  /** Bounds of the factor by which one update changes the limit. */
  private static final double GROWTH_MAXIMUM = 1.5;

  private static final double SHRINK_MAXIMUM = 0.5;

  /** Weight of a new observation, and exponent of a gradual change of the limit. */
  private static final double SMOOTHING = 0.25;

  /** Ratio of observed to smoothed interval from which an observation is taken over unsmoothed. */
  private static final double SUDDEN_CHANGE_RATIO = 1.5;

  /** Relative deviation from the target up to which the limit is not changed. */
  private static final double HYSTERESIS = 0.03;

  /** Fraction of the limit that must be in flight for the limit to grow. */
  private static final double MIN_UTILIZATION = 0.85;

  /** Factor by which the limit shrinks when the endpoint reports an overload. */
  private static final double OVERLOAD_FACTOR = 0.7;

  private final BrokerOptions options;
  private double limit;
  private double weightedIntervals;
  private double weightedHighIntervals;
  private double streams;
  private double highIntervalNanos;
  private double tokenIntervalNanos;
  private long nextUpdateAt = Long.MIN_VALUE;

  ConcurrencyLimit(BrokerOptions options) {
    this.options = options;
    limit = options.initialLimit();
    tokenIntervalNanos = options.initialTokenIntervalNanos();
  }

  int value() {
    return (int) Math.max(1, Math.round(limit));
  }

  long tokenIntervalNanos() {
    return (long) tokenIntervalNanos;
  }

  /** Restores the estimates of a previous broker. */
  void restoreEstimates(int previousLimit, long previousTokenIntervalNanos) {
    limit = clamp(previousLimit);
    if (previousTokenIntervalNanos > 0) {
      tokenIntervalNanos = previousTokenIntervalNanos;
    }
  }

  void raiseTo(int minimum) {
    limit = Math.max(limit, clamp(minimum));
  }

  void reduceOnOverload() {
    limit = clamp(limit * OVERLOAD_FACTOR);
  }

  /** Records a sample of the open streams; updates the limit once per update interval. */
  void observe(StreamSample sample, int inFlight, long now) {
    if (sample.streams() <= 0 || sample.meanTokenIntervalNanos() <= 0) {
      return;
    }
    weightedIntervals += (double) sample.meanTokenIntervalNanos() * sample.streams();
    weightedHighIntervals += (double) sample.highTokenIntervalNanos() * sample.streams();
    streams += sample.streams();
    if (nextUpdateAt == Long.MIN_VALUE) {
      nextUpdateAt = now + UPDATE_INTERVAL_NANOS;
    }
    if (now < nextUpdateAt) {
      return;
    }
    nextUpdateAt = now + UPDATE_INTERVAL_NANOS;
    tokenIntervalNanos = weightedIntervals / streams;
    double observed = weightedHighIntervals / streams;
    weightedIntervals = 0;
    weightedHighIntervals = 0;
    streams = 0;
    update(observed, inFlight);
  }

  /** Grows the limit after a completed request of an endpoint that streams no tokens. */
  void completedWithoutTokens(int inFlight) {
    if (inFlight >= limit * MIN_UTILIZATION) {
      limit = clamp(limit + 1 / limit);
    }
  }

  private void update(double observed, int inFlight) {
    boolean slower = observed > highIntervalNanos * SUDDEN_CHANGE_RATIO;
    boolean faster = observed * SUDDEN_CHANGE_RATIO < highIntervalNanos;
    double gain = slower || faster ? 1 : SMOOTHING;
    highIntervalNanos += gain * (observed - highIntervalNanos);
    double ratio = options.tokenIntervalTargetNanos() * TARGET_SHARE / highIntervalNanos;
    if (Math.abs(ratio - 1) < HYSTERESIS) {
      return;
    }
    if (ratio < 1) {
      double step = slower ? Math.max(SHRINK_MAXIMUM, ratio) : Math.pow(ratio, SMOOTHING);
      limit = clamp(limit * step);
      return;
    }
    if (inFlight >= value() * MIN_UTILIZATION) {
      limit = clamp(limit * Math.min(GROWTH_MAXIMUM, Math.pow(ratio, SMOOTHING)));
    }
  }

  private double clamp(double value) {
    return Math.max(1, Math.min(options.maximumLimit(), value));
  }
}
