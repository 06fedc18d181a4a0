package io.samphiredyke.core.pool;

import io.samphiredyke.core.serving.CustomerSpec;

/**
 * A customer's quota as a bucket that fills at the configured rate.
 *
 * <p>The platform tolerates some units beyond the quota. The bucket gives a share of them away, so
 * that requests within the quota are not refused because hosts count slightly apart.
 */
final class TokenQuota {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Share of the burst that a scheduler grants at once when it takes over from another one. */
  private static final double TAKEOVER_BURST_SHARE = 0.25;

  private final double tolerance;
  private final double slackUnits;
  private CustomerSpec customer;
  private double setCapacityShare = 1;
  private double units;
  private long refilledAt;
  private long nextTurnAt = Long.MIN_VALUE;

  /**
   * Creates a full bucket.
   *
   * @param tolerance share of rate and burst that may be used beyond them
   * @param slackUnits units that may be used beyond that
   */
  TokenQuota(CustomerSpec customer, double tolerance, double slackUnits, long now) {
    this.customer = customer;
    this.tolerance = tolerance;
    this.slackUnits = slackUnits;
    this.units = capacity();
    this.refilledAt = now;
  }

  private double capacity() {
    return (customer.burst() * (1 + tolerance) + slackUnits) * setCapacityShare;
  }

  private double ratePerSecond() {
    return customer.ratePerSecond() * (1 + tolerance) * setCapacityShare;
  }

  /**
   * Sets the part of the quota that this bucket gives away; other schedulers that this one can't
   * reach give away the rest.
   */
  void setCapacityShare(double newer, long now) {
    refill(now);
    setCapacityShare = newer;
    units = Math.min(units, capacity());
  }

  void update(CustomerSpec newer, long now) {
    refill(now);
    customer = newer;
    units = Math.min(units, capacity());
  }

  /**
   * Takes units if any are left; a request may overdraw the bucket once, so that requests larger
   * than the burst are served too.
   */
  boolean tryTake(long wanted, long now) {
    if (customer.ratePerSecond() == 0) {
      return true;
    }
    refill(now);
    if (units <= 0) {
      return false;
    }
    units -= wanted;
    return true;
  }

  /**
   * Notes that another scheduler may have granted units of which no report has arrived yet: only a
   * part of the burst is granted at once.
   */
  void limitAfterTakeover(long now) {
    refill(now);
    units = Math.min(units, customer.burst() * TAKEOVER_BURST_SHARE * setCapacityShare);
  }

  /** Takes units that are used already. */
  void charge(long used, long now) {
    refill(now);
    units -= used;
  }

  /** Returns the units of a request that did not run. */
  void refund(long unused) {
    units = Math.min(capacity(), units + unused);
  }

  /**
   * Returns when a refused request should come back, milliseconds from now: when the bucket has
   * filled again and the requests refused before it have had their turn. Under a lasting excess
   * that is further and further away; a brief one spreads the returns.
   */
  long retryAfterMillis(long wanted, long now) {
    double perNano = ratePerSecond() / NANOS_PER_SECOND;
    long filled = now + (long) (Math.max(0, -units) / perNano);
    nextTurnAt = Math.max(nextTurnAt, filled) + (long) (wanted / perNano);
    return Math.max(1, (nextTurnAt - now) / NANOS_PER_MILLI);
  }

  private void refill(long now) {
    double seconds = Math.max(0, now - refilledAt) / NANOS_PER_SECOND;
    units = Math.min(capacity(), units + seconds * ratePerSecond());
    refilledAt = now;
  }
}
