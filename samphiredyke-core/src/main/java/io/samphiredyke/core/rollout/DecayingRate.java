package io.samphiredyke.core.rollout;

/** Rate of an event among recent observations, which lose weight with time. */
final class DecayingRate {

  private static final double NANOS_PER_SECOND = 1e9;

  private final double timeConstantSeconds;
  private double observations;
  private double events;
  private long decayedAt;

  DecayingRate(double timeConstantSeconds) {
    this.timeConstantSeconds = timeConstantSeconds;
  }

  void add(boolean isEvent, long now) {
    decay(now);
    observations++;
    events += isEvent ? 1 : 0;
  }

  private void decay(long now) {
    double seconds = Math.max(0, now - decayedAt) / NANOS_PER_SECOND;
    double factor = decayedAt == 0 ? 1 : Math.exp(-seconds / timeConstantSeconds);
    observations *= factor;
    events *= factor;
    decayedAt = now;
  }

  /** Returns the weight of the observations. */
  double weight(long now) {
    decay(now);
    return observations;
  }

  /** Returns the rate, 0 without observations. */
  double rate(long now) {
    decay(now);
    return observations == 0 ? 0 : events / observations;
  }
}
