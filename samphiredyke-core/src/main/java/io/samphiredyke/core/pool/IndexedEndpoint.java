package io.samphiredyke.core.pool;

import java.util.Comparator;

/** An endpoint with its position in the {@link EndpointIndex}. */
final class IndexedEndpoint {

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
  String version = "";

  IndexedEndpoint(EndpointLoad load, long number) {
    this.load = load;
    this.number = number;
  }
}
