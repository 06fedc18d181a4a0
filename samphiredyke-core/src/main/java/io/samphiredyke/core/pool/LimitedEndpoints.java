package io.samphiredyke.core.pool;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Endpoints with a rate limit, and how many slots they can keep in use.
 *
 * <p>Load pattern: all endpoints have a limit while hundreds of requests wait, whose starts are
 * estimated one after the other. The number of slots is computed once for all of them.
 */
final class LimitedEndpoints {

  private final Set<IndexedEndpoint> entries = new LinkedHashSet<>();
  private boolean isComputed;
  private double computedSlots;
  private double computedUnlimited;
  private double computedHoldMillis;
  private boolean computedIgnoringPauses;

  void add(IndexedEndpoint entry) {
    isComputed = false;
    entries.add(entry);
  }

  /** Removes an endpoint; returns whether it had a limit. */
  boolean remove(IndexedEndpoint entry) {
    boolean wasLimited = entries.remove(entry);
    isComputed &= !wasLimited;
    return wasLimited;
  }

  /**
   * Returns the usable slots of all endpoints.
   *
   * @param unlimited slots of the endpoints without a limit
   * @param meanHoldMillis mean time for which a request holds a slot, 0 if unknown
   * @param ignoresPauses whether paused endpoints count
   */
  double slots(double unlimited, double meanHoldMillis, boolean ignoresPauses) {
    boolean isKnown =
        isComputed
            && computedUnlimited == unlimited
            && computedHoldMillis == meanHoldMillis
            && computedIgnoringPauses == ignoresPauses;
    if (!isKnown) {
      computedSlots = computeSlots(unlimited, meanHoldMillis, ignoresPauses);
      computedUnlimited = unlimited;
      computedHoldMillis = meanHoldMillis;
      computedIgnoringPauses = ignoresPauses;
      isComputed = true;
    }
    return computedSlots;
  }

  private double computeSlots(double unlimited, double meanHoldMillis, boolean ignoresPauses) {
    double usable = unlimited;
    for (IndexedEndpoint entry : entries) {
      if (!entry.isPaused || ignoresPauses) {
        usable += entry.limitedSlots(meanHoldMillis);
      }
    }
    return usable;
  }
}
