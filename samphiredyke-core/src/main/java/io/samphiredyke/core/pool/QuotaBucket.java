package io.samphiredyke.core.pool;

import io.samphiredyke.core.serving.CustomerSpec;

/**
 * A customer's quota as a bucket that fills at the configured rate.
 *
 * <p>The platform tolerates some units beyond the quota. The bucket gives a share of them away, so
 * that requests within the quota are not refused because hosts count slightly apart.
 */
final class QuotaBucket {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Share of the burst that a scheduler grants at once when it takes over from another one. */
  private static final double TAKE_OVER_SHARE = 0.25;

  private final double tolerance;
  private final double slackUnits;
  private CustomerSpec customer;
  private double share = 1;
  private double units;
  private long filledAt;
  private long turnAt = Long.MIN_VALUE;

  /**
   * Creates a full bucket.
   *
   * @param tolerance share of rate and burst that may be used beyond them
   * @param slackUnits units that may be used beyond that
   */
  QuotaBucket(CustomerSpec customer, double tolerance, double slackUnits, long now) {
    this.customer = customer;
    this.tolerance = tolerance;
    this.slackUnits = slackUnits;
    this.units = capacity();
    this.filledAt = now;
  }

  private double capacity() {
    return (customer.burst() * (1 + tolerance) + slackUnits) * share;
  }

  private double ratePerSecond() {
    return customer.ratePerSecond() * (1 + tolerance) * share;
  }

  /**
   * Sets the part of the quota that this bucket gives away; other schedulers that this one can't
   * reach give away the rest.
   */
  void share(double newer, long now) {
    fill(now);
    share = newer;
    units = Math.min(units, capacity());
  }

  void update(CustomerSpec newer, long now) {
    fill(now);
    customer = newer;
    units = Math.min(units, capacity());
  }

  /**
   * Takes units if any are left; a request may overdraw the bucket once, so that requests larger
   * than the burst are served too.
   */
  boolean take(long wanted, long now) {
    if (customer.ratePerSecond() == 0) {
      return true;
    }
    fill(now);
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
  void takeOver(long now) {
    fill(now);
    units = Math.min(units, customer.burst() * TAKE_OVER_SHARE * share);
  }

  /** Takes units that are used already. */
  void use(long used, long now) {
    fill(now);
    units -= used;
  }

  /** Returns the units of a request that did not run. */
  void giveBack(long unused) {
    units = Math.min(capacity(), units + unused);
  }

  /**
   * Returns when a refused request should come back, milliseconds from now: when the bucket has
   * filled again and the requests refused before it have had their turn. Under a lasting excess
   * that is further and further away; a brief one spreads the returns.
   */
  long millisUntilTurn(long wanted, long now) {
    double perNano = ratePerSecond() / NANOS_PER_SECOND;
    long filled = now + (long) (Math.max(0, -units) / perNano);
    turnAt = Math.max(turnAt, filled) + (long) (wanted / perNano);
    return Math.max(1, (turnAt - now) / NANOS_PER_MILLI);
  }

  private void fill(long now) {
    double seconds = Math.max(0, now - filledAt) / NANOS_PER_SECOND;
    units = Math.min(capacity(), units + seconds * ratePerSecond());
    filledAt = now;
  }
}
