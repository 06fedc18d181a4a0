package io.samphiredyke.core.broker;

import java.util.concurrent.TimeUnit;

/**
 * Settings of an {@link EndpointBroker}.
 *
 * @param tiers number of tiers
 * @param queueCapacity largest number of waiting requests
 * @param initialLimit concurrency limit before any observation
 * @param maximumLimit upper bound of the concurrency limit
 * @param firstTokenTargetNanos target for the time from dispatch to the first token (TTFT)
 * @param tokenIntervalTargetNanos target for the time between tokens
 * @param initialPrefillTokensPerSecond prefill rate before any observation
 * @param initialTokenIntervalNanos time between tokens before any observation
 */
public record BrokerOptions(
    int tiers,
    int queueCapacity,
    int initialLimit,
    int maximumLimit,
    long firstTokenTargetNanos,
    long tokenIntervalTargetNanos,
    double initialPrefillTokensPerSecond,
    long initialTokenIntervalNanos) {

  /** Returns a builder with default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds {@link BrokerOptions}. */
  public static final class Builder {

    private int tiers = 4;
    private int queueCapacity = 1024;
    private int initialLimit = 8;
    private int maximumLimit = 1024;
    private long firstTokenTargetNanos = TimeUnit.MILLISECONDS.toNanos(800);
    private long tokenIntervalTargetNanos = TimeUnit.MILLISECONDS.toNanos(54);
    private double initialPrefillTokensPerSecond = 4_000;
    private long initialTokenIntervalNanos = TimeUnit.MILLISECONDS.toNanos(30);

    private Builder() {}

    /** Sets the number of tiers. */
    public Builder tiers(int value) {
      tiers = value;
      return this;
    }

    /** Sets the largest number of waiting requests. */
    public Builder queueCapacity(int value) {
      queueCapacity = value;
      return this;
    }

    /** Sets the concurrency limit before any observation. */
    public Builder initialLimit(int value) {
      initialLimit = value;
      return this;
    }

    /** Sets the upper bound of the concurrency limit. */
    public Builder maximumLimit(int value) {
      maximumLimit = value;
      return this;
    }

    /** Sets the target for the time to the first token. */
    public Builder firstTokenTargetNanos(long value) {
      firstTokenTargetNanos = value;
      return this;
    }

    /** Sets the target for the time between tokens. */
    public Builder tokenIntervalTargetNanos(long value) {
      tokenIntervalTargetNanos = value;
      return this;
    }

    /** Sets the prefill rate before any observation. */
    public Builder initialPrefillTokensPerSecond(double value) {
      initialPrefillTokensPerSecond = value;
      return this;
    }

    /** Sets the time between tokens before any observation. */
    public Builder initialTokenIntervalNanos(long value) {
      initialTokenIntervalNanos = value;
      return this;
    }

    /** Returns the options. */
    public BrokerOptions build() {
      return new BrokerOptions(
          tiers,
          queueCapacity,
          initialLimit,
          maximumLimit,
          firstTokenTargetNanos,
          tokenIntervalTargetNanos,
          initialPrefillTokensPerSecond,
          initialTokenIntervalNanos);
    }
  }
}
