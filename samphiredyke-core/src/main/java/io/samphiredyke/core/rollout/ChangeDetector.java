package io.samphiredyke.core.rollout;

/**
 * Sequential test for an increased rate of events: a cumulative sum of log-likelihood ratios that
 * never falls below zero.
 *
 * <p>The expected rate may change with each observation. The sum rises with events beyond that rate
 * and falls otherwise, so a rate that increases late is found as fast as one that is increased from
 * the start.
 */
final class ChangeDetector {

  /** Sum at which the test ends; about one false alarm in e^9 independent excursions. */
  private static final double THRESHOLD = 9;

  /** Sum of a test whose events occur at most endpoints of either version. */
  private static final double CERTAIN = 14;

  /** Increase of the rate that the test is most sensitive to. */
  private static final double INCREASE = 0.12;

  /** Bounds of the expected rate; a higher one leaves no room for an increase. */
  private static final double MIN_EXPECTED = 0.01;

  private static final double MAX_EXPECTED = 0.85;

  private double sum;

  /**
   * Records an observation.
   *
   * @param isEvent whether the event occurred
   * @param expectedRate rate of the event without an increase
   */
  void observe(boolean isEvent, double expectedRate) {
    double expected = Math.max(MIN_EXPECTED, Math.min(MAX_EXPECTED, expectedRate));
    double increased = expected + INCREASE;
    double ratio = isEvent ? increased / expected : (1 - increased) / (1 - expected);
    sum = Math.max(0, sum + Math.log(ratio));
  }

  boolean hasDetected() {
    return sum >= THRESHOLD;
  }

  /** Returns whether the increase is shown although all endpoints have the events. */
  boolean isCertain() {
    return sum >= CERTAIN;
  }

  double sum() {
    return sum;
  }
}
