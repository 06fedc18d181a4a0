package io.samphiredyke.core.pool;

import io.samphiredyke.core.serving.CustomerSpec;

/** A customer's quota as a bucket that fills at the configured rate. */
final class TokenQuota {

  private static final double NANOS_PER_SECOND = 1e9;

  private CustomerSpec customer;
  private double units;
  private long filledAt;

  TokenQuota(CustomerSpec customer, long now) {
    this.customer = customer;
    this.units = customer.burst();
    this.filledAt = now;
  }

  void update(CustomerSpec newer, long now) {
    fill(now);
    customer = newer;
    units = Math.min(units, newer.burst());
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

  /** Returns the units of a request that did not run. */
  void giveBack(long unused) {
    units = Math.min(customer.burst(), units + unused);
  }

  /** Time until units are left again, milliseconds. */
  long millisUntilPositive() {
    return units > 0 ? 0 : (long) (-units / customer.ratePerSecond() * 1000) + 1;
  }

  private void fill(long now) {
    double seconds = Math.max(0, now - filledAt) / NANOS_PER_SECOND;
    units = Math.min(customer.burst(), units + seconds * customer.ratePerSecond());
    filledAt = now;
  }
}
