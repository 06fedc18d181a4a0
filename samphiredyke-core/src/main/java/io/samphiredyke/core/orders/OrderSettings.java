package io.samphiredyke.core.orders;

import java.util.concurrent.TimeUnit;

/**
 * Times and limits of orders. All times are in nanoseconds.
 *
 * @param lease how long a record keeps its author's leases, from when the author sent it
 * @param takeoverWait how long after reading a session's last record it may be ended; the lease and
 *     the bound on the difference of clock rates
 * @param ample how much of the lease must be left to send an order; bounds the time from the check
 *     to the order's effect
 * @param renewal the time between two records of a session that changes nothing
 * @param batch the least time between two records of one host
 * @param appendTimeout after which time the fate of an append is no longer awaited
 * @param readInterval the time between two reads of an engine in the wanted state
 * @param loadPoll the time between two reads of an engine that loads or waits to load
 * @param callTimeout after which time a read or an order is given up
 * @param snapshotInterval after which time a snapshot is due; well below the log's retention
 * @param loadLimit the largest number of loads at once in the whole system
 */
public record OrderSettings(
    long lease,
    long takeoverWait,
    long ample,
    long renewal,
    long batch,
    long appendTimeout,
    long readInterval,
    long loadPoll,
    long callTimeout,
    long snapshotInterval,
    int loadLimit) {

  /** The largest ratio of the rates of two hosts' clocks that the default wait allows for. */
  public static final double CLOCK_RATE_RATIO = 1.01;

  /** Returns a builder with default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the settings. */
  public static final class Builder {
    private long lease = TimeUnit.SECONDS.toNanos(120);
    private long takeoverWait = (long) (lease * CLOCK_RATE_RATIO);
    private long ample = TimeUnit.SECONDS.toNanos(20);
    private long renewal = TimeUnit.SECONDS.toNanos(40);
    private long batch = TimeUnit.SECONDS.toNanos(1);
    private long appendTimeout = TimeUnit.SECONDS.toNanos(10);
    private long readInterval = TimeUnit.SECONDS.toNanos(30);
    private long loadPoll = TimeUnit.SECONDS.toNanos(2);
    private long callTimeout = TimeUnit.SECONDS.toNanos(10);
    private long snapshotInterval = TimeUnit.HOURS.toNanos(1);
    private int loadLimit = 4;

    private Builder() {}

    /** Sets the lease and the wait that fits it. */
    public Builder lease(long lease) {
      this.lease = lease;
      this.takeoverWait = (long) (lease * CLOCK_RATE_RATIO);
      return this;
    }

    /** Sets how long after reading a session's last record it may be ended. */
    public Builder takeoverWait(long takeoverWait) {
      this.takeoverWait = takeoverWait;
      return this;
    }

    /** Sets how much of the lease must be left to send an order. */
    public Builder ample(long ample) {
      this.ample = ample;
      return this;
    }

    /** Sets the time between two records of a session that changes nothing. */
    public Builder renewal(long renewal) {
      this.renewal = renewal;
      return this;
    }

    /** Sets the least time between two records of one host. */
    public Builder batch(long batch) {
      this.batch = batch;
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
    public Builder loadPoll(long loadPoll) {
      this.loadPoll = loadPoll;
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
    public Builder loadLimit(int loadLimit) {
      this.loadLimit = loadLimit;
      return this;
    }

    /** Returns the settings. */
    public OrderSettings build() {
      return new OrderSettings(
          lease,
          takeoverWait,
          ample,
          renewal,
          batch,
          appendTimeout,
          readInterval,
          loadPoll,
          callTimeout,
          snapshotInterval,
          loadLimit);
    }
  }
}
