package io.samphiredyke.core.pool;

/**
 * Limit on the requests a second that an endpoint accepts from all hosts together.
 *
 * <p>Grants are spaced by the inverse of the limit, with a small burst, so that the endpoint
 * receives its rate in any window and not a window's worth at once.
 */
final class RateLimit {

  /** Limit of an endpoint that states none, requests per second. */
  static final double NONE = Double.POSITIVE_INFINITY;

  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Smallest limit that is applied, requests per second. An endpoint that accepts nothing still
   * gets a request now and then, because only its responses tell when the limit ends.
   */
  private static final double MIN_PER_SECOND = 0.25;

  /** Time without grants whose requests may be granted at once later. */
  private static final long BURST_NANOS = 500_000_000;

  private double perSecond = NONE;
  private double share = 1;
  private long nextGrantAt = Long.MIN_VALUE;

  /** Sets the limit; {@link #NONE} ends it. */
  void set(double requestsPerSecond, long now) {
    double bounded = Math.max(MIN_PER_SECOND, requestsPerSecond);
    if (!isLimited() && bounded != NONE) {
      perSecond = bounded;
      // Requests that were sent before the limit was known count too, so it starts without a burst.
      nextGrantAt = now + intervalNanos();
    }
    perSecond = bounded;
  }

  /** Sets the fraction of the limit that this scheduler may grant. */
  void setShare(double updated) {
    share = updated;
  }

  boolean isLimited() {
    return perSecond != NONE;
  }

  /** Returns from when on the next request may be granted. */
  long nextGrantAt() {
    return isLimited() ? nextGrantAt : Long.MIN_VALUE;
  }

  /** Returns the requests per second that this scheduler may grant. */
  double grantsPerSecond() {
    return perSecond * share;
  }

  /** Records a grant. */
  void granted(long now) {
    if (isLimited()) {
      nextGrantAt = Math.max(nextGrantAt, now - BURST_NANOS) + intervalNanos();
    }
  }

  private long intervalNanos() {
    return (long) (NANOS_PER_SECOND / Math.max(MIN_PER_SECOND, grantsPerSecond()));
  }
}
