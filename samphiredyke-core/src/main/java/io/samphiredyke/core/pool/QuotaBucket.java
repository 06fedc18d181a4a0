package io.samphiredyke.core.pool;

import io.samphiredyke.core.serving.CustomerSpec;

/**
 * Token bucket that enforces a customer's quota at the configured rate.
 *
 * <p>The platform tolerates some units beyond the quota. The bucket grants a part of them, so that
 * requests within the quota are not refused because the hosts' counts differ slightly.
 */
final class QuotaBucket {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Fraction of the burst that is available when this scheduler takes over from another one. */
  private static final double TAKEOVER_BURST_SHARE = 0.25;

  private final double tolerance;
  private final double slackUnits;
  private CustomerSpec customer;
  private double capacityShare = 1;
  private double units;
  private long refilledAt;
  private long nextTurnAt = Long.MIN_VALUE;

  /**
   * Creates a full bucket.
   *
   * @param tolerance fraction by which rate and burst may be exceeded
   * @param slackUnits units that may be used beyond that
   */
  QuotaBucket(CustomerSpec customer, double tolerance, double slackUnits, long now) {
    this.customer = customer;
    this.tolerance = tolerance;
    this.slackUnits = slackUnits;
    this.units = capacity();
    this.refilledAt = now;
  }

  private double capacity() {
    return (customer.burst() * (1 + tolerance) + slackUnits) * capacityShare;
  }

  private double ratePerSecond() {
    return customer.ratePerSecond() * (1 + tolerance) * capacityShare;
  }

  /**
   * Sets the fraction of the quota that this bucket may grant; schedulers that this one can't reach
   * may grant the rest at the same time.
   */
  void setCapacityShare(double updated, long now) {
    refill(now);
    capacityShare = updated;
    units = Math.min(units, capacity());
  }

  void update(CustomerSpec updated, long now) {
    refill(now);
    customer = updated;
    units = Math.min(units, capacity());
  }

  /**
   * Takes units if any are left. A request may overdraw the bucket, so that requests larger than
   * the burst are served too; none is granted after it until the bucket is positive again.
   */
  boolean tryTake(long requested, long now) {
    if (customer.ratePerSecond() == 0) {
      return true;
    }
    refill(now);
    if (units <= 0) {
      return false;
    }
    units -= requested;
    return true;
  }

  /**
   * Limits the available units to a part of the burst, because another scheduler may have granted
   * units that have not been reported yet.
   */
  void limitAfterTakeover(long now) {
    refill(now);
    units = Math.min(units, customer.burst() * TAKEOVER_BURST_SHARE * capacityShare);
  }

  /** Deducts units that were already used; may overdraw the bucket. */
  void charge(long used, long now) {
    refill(now);
    units -= used;
  }

  /** Gives back the units of a request that did not run. */
  void refund(long unused) {
    units = Math.min(capacity(), units + unused);
  }

  /**
   * Returns after how many milliseconds a refused request should be retried: when the bucket has
   * refilled for it and for the requests refused before it. A brief excess spreads the retries;
   * under a sustained excess the time grows with each refusal.
   */
  long retryAfterMillis(long requested, long now) {
    double perNano = ratePerSecond() / NANOS_PER_SECOND;
    long filled = now + (long) (Math.max(0, -units) / perNano);
    nextTurnAt = Math.max(nextTurnAt, filled) + (long) (requested / perNano);
    return Math.max(1, (nextTurnAt - now) / NANOS_PER_MILLI);
  }

  private void refill(long now) {
    double seconds = Math.max(0, now - refilledAt) / NANOS_PER_SECOND;
    units = Math.min(capacity(), units + seconds * ratePerSecond());
    refilledAt = now;
  }
}
