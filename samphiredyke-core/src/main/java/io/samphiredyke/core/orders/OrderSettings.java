package io.samphiredyke.core.orders;

import java.util.concurrent.TimeUnit;

/**
 * Times and limits of orders. All times are in nanoseconds.
 *
 * @param leaseDuration how long a record keeps its author's leases, from when the author sent it
 * @param takeoverWait how long after reading a session's last record it may be ended; the lease and
 *     the bound on the difference of clock rates
 * @param minRemainingLease how much of the lease must be left to send an order; bounds the time
 *     from the check to the order's effect
 * @param renewalInterval the time between two records of a session that changes nothing
 * @param minAppendInterval the least time between two records of one host
 * @param appendTimeout after which time the fate of an append is no longer awaited
 * @param readInterval the time between two reads of an engine in the wanted state
 * @param loadPollInterval the time between two reads of an engine that loads or waits to load
 * @param callTimeout after which time a read or an order is given up
 * @param snapshotInterval after which time a snapshot is due; well below the log's retention
 * @param maxConcurrentLoads the largest number of loads at once in the whole system
 */
public record OrderSettings(
    long leaseDuration,
    long takeoverWait,
    long minRemainingLease,
    long renewalInterval,
    long minAppendInterval,
    long appendTimeout,
    long readInterval,
    long loadPollInterval,
    long callTimeout,
    long snapshotInterval,
    int maxConcurrentLoads) {

  /** The largest ratio of the rates of two hosts' clocks that the default wait allows for. */
  public static final double CLOCK_RATE_RATIO = 1.01;

  /** Returns a builder with default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the settings. */
  public static final class Builder {
    private long leaseDuration = TimeUnit.SECONDS.toNanos(120);
    private long takeoverWait = (long) (leaseDuration * CLOCK_RATE_RATIO);
    private long minRemainingLease = TimeUnit.SECONDS.toNanos(20);
    private long renewalInterval = TimeUnit.SECONDS.toNanos(40);
    private long minAppendInterval = TimeUnit.SECONDS.toNanos(1);
    private long appendTimeout = TimeUnit.SECONDS.toNanos(10);
    private long readInterval = TimeUnit.SECONDS.toNanos(30);
    private long loadPollInterval = TimeUnit.SECONDS.toNanos(2);
    private long callTimeout = TimeUnit.SECONDS.toNanos(10);
    private long snapshotInterval = TimeUnit.HOURS.toNanos(1);
    private int maxConcurrentLoads = 4;

    private Builder() {}

    /** Sets the lease and the wait that fits it. */
    public Builder leaseDuration(long lease) {
      this.leaseDuration = lease;
      this.takeoverWait = (long) (lease * CLOCK_RATE_RATIO);
      return this;
    }

    /** Sets how long after reading a session's last record it may be ended. */
    public Builder takeoverWait(long takeoverWait) {
      this.takeoverWait = takeoverWait;
      return this;
    }

    /** Sets how much of the lease must be left to send an order. */
    public Builder minRemainingLease(long ample) {
      this.minRemainingLease = ample;
      return this;
    }

    /** Sets the time between two records of a session that changes nothing. */
    public Builder renewalInterval(long renewal) {
      this.renewalInterval = renewal;
      return this;
    }

    /** Sets the least time between two records of one host. */
    public Builder minAppendInterval(long batch) {
      this.minAppendInterval = batch;
      return this;
    }

    /** Sets after which time the fate of an append is no longer awaited. */
    public Builder appendTimeout(long appendTimeout) {
      this.appendTimeout = appendTimeout;
      return this;
    }

    /** Sets the time between two reads of an engine in the wanted state. */
    public Builder readInterval(long readInterval) {
      this.readInterval = readInterval;
      return this;
    }

    /** Sets the time between two reads of an engine that loads or waits to load. */
    public Builder loadPollInterval(long loadPoll) {
      this.loadPollInterval = loadPoll;
      return this;
    }

    /** Sets after which time a read or an order is given up. */
    public Builder callTimeout(long callTimeout) {
      this.callTimeout = callTimeout;
      return this;
    }

    /** Sets after which time a snapshot is due. */
    public Builder snapshotInterval(long snapshotInterval) {
      this.snapshotInterval = snapshotInterval;
      return this;
    }

    /** Sets the largest number of loads at once in the whole system. */
    public Builder maxConcurrentLoads(int loadLimit) {
      this.maxConcurrentLoads = loadLimit;
      return this;
    }

    /** Returns the settings. */
    public OrderSettings build() {
      return new OrderSettings(
          leaseDuration,
          takeoverWait,
          minRemainingLease,
          renewalInterval,
          minAppendInterval,
          appendTimeout,
          readInterval,
          loadPollInterval,
          callTimeout,
          snapshotInterval,
          maxConcurrentLoads);
    }
  }
}
