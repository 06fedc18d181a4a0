package io.samphiredyke.core.pool;

import java.util.Comparator;

/** An endpoint with its position in the {@link EndpointIndex}. */
final class IndexedEndpoint {

  private static final double MILLIS_PER_SECOND = 1e3;

  static final Comparator<IndexedEndpoint> BY_COST =
      Comparator.<IndexedEndpoint>comparingDouble(entry -> entry.cost)
          .thenComparingLong(e -> e.number);

  static final Comparator<IndexedEndpoint> BY_PAUSE_END =
      Comparator.<IndexedEndpoint>comparingLong(entry -> entry.load.pausedUntil())
          .thenComparingLong(e -> e.number);

  static final Comparator<IndexedEndpoint> BY_NEXT_GRANT =
      Comparator.<IndexedEndpoint>comparingLong(entry -> entry.load.nextGrantAt())
          .thenComparingLong(e -> e.number);

  final EndpointLoad load;
  final long number;
  double cost;
  int slots;
  boolean isFree;
  boolean isFreeIgnoringPause;
  boolean isPaused;
  boolean isThrottled;
  boolean isWithheld;
  boolean isProbed;
  String version = "";

  IndexedEndpoint(EndpointLoad load, long number) {
    this.load = load;
    this.number = number;
  }

  /** Returns with how many of its slots the rate limit binds. */
  double limitedSlots(double meanHoldMillis) {
    if (meanHoldMillis <= 0) {
      return slots;
    }
    double grantsPerSecond = load.rateLimit().grantsPerSecond();
    return Math.min(slots, grantsPerSecond * meanHoldMillis / MILLIS_PER_SECOND);
  }
}
