package io.samphiredyke.core.orders;

import java.util.concurrent.TimeUnit;

/**
 * Times and limits of leases and orders. All times are in nanoseconds.
 *
 * @param leaseDuration time for which a record maintains its author's leases, from when it was sent
 * @param takeoverWait time after reading a session's last record from which the session may be
 *     ended: the lease duration plus a margin for different clock rates
 * @param minRemainingLease remaining time of the lease required to send an order, which bounds the
 *     time from the check to the effect of the order
 * @param renewalInterval time between two records of a session without changes
 * @param minAppendInterval minimum time between two records of one host
 * @param appendTimeout time after which the result of an append is no longer awaited
 * @param readInterval time between two reads of an engine in the desired state
 * @param loadPollInterval time between two reads of an engine that loads or waits to load
 * @param callTimeout timeout of a read or an order
 * @param snapshotInterval time after which a snapshot is due; must be well below the retention time
 *     of the log
 * @param maxConcurrentLoads maximum number of concurrent loads in the whole system
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

  /** Maximum ratio of the clock rates of two hosts that the default takeover wait allows for. */
  public static final double CLOCK_RATE_RATIO = 1.01;

  /** Returns a builder with default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder of {@link OrderSettings}. */
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

    /** Sets the lease duration and the corresponding takeover wait. */
    public Builder leaseDuration(long leaseDuration) {
      this.leaseDuration = leaseDuration;
      this.takeoverWait = (long) (leaseDuration * CLOCK_RATE_RATIO);
      return this;
    }

    /** Sets the time after reading a session's last record from which it may be ended. */
    public Builder takeoverWait(long takeoverWait) {
      this.takeoverWait = takeoverWait;
      return this;
    }

    /** Sets the remaining time of the lease required to send an order. */
    public Builder minRemainingLease(long minRemainingLease) {
      this.minRemainingLease = minRemainingLease;
      return this;
    }

    /** Sets the time between two records of a session without changes. */
    public Builder renewalInterval(long renewalInterval) {
      this.renewalInterval = renewalInterval;
      return this;
    }

    /** Sets the minimum time between two records of one host. */
    public Builder minAppendInterval(long minAppendInterval) {
      this.minAppendInterval = minAppendInterval;
      return this;
    }

    /** Sets the time after which the result of an append is no longer awaited. */
    public Builder appendTimeout(long appendTimeout) {
      this.appendTimeout = appendTimeout;
      return this;
    }

    /** Sets the time between two reads of an engine in the desired state. */
    public Builder readInterval(long readInterval) {
      this.readInterval = readInterval;
      return this;
    }

    /** Sets the time between two reads of an engine that loads or waits to load. */
    public Builder loadPollInterval(long loadPollInterval) {
      this.loadPollInterval = loadPollInterval;
      return this;
    }

    /** Sets the timeout of a read or an order. */
    public Builder callTimeout(long callTimeout) {
      this.callTimeout = callTimeout;
      return this;
    }

    /** Sets the time after which a snapshot is due. */
    public Builder snapshotInterval(long snapshotInterval) {
      this.snapshotInterval = snapshotInterval;
      return this;
    }

    /** Sets the maximum number of concurrent loads in the whole system. */
    public Builder maxConcurrentLoads(int maxConcurrentLoads) {
      this.maxConcurrentLoads = maxConcurrentLoads;
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
