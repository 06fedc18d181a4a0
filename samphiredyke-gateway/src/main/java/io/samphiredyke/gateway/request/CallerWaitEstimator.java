package io.samphiredyke.gateway.request;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long a caller has been waiting before this attempt, from the time that it states to
 * have left.
 *
 * <p>Load pattern: refused callers that return. Each attempt has an id of its own, but a returning
 * caller has less time left than others of its route. Its latency objective counts from its first
 * attempt, so its response is late where that of a new request is not.
 */
final class CallerWaitEstimator {

  /**
   * Share of the median below which the stated time is that of a repeated attempt; callers of one
   * route differ by less in the time that they allow.
   */
  private static final double REPEATED_SHARE = 0.8;

  /** Share of the median by which the stated time of a first attempt moves it. */
  private static final double MEDIAN_STEP = 0.01;

  /**
   * The same for a repeated attempt; small, so that a flood of returns does not pass for first
   * attempts, and above zero, so that a lasting change is learned.
   */
  private static final double REPEATED_MEDIAN_STEP = 0.001;

  private final Map<String, Double> medians = new HashMap<>();

  /**
   * Returns the estimated time since the caller's first attempt, and learns from the stated time.
   *
   * @param statedMillis time that the caller has left, milliseconds; negative if it states none
   */
  long waitedMillis(String route, long statedMillis) {
    if (statedMillis < 0) {
      return 0;
    }
    double median = medians.getOrDefault(route, (double) statedMillis);
    boolean isRepeated = statedMillis < median * REPEATED_SHARE;
    double step = median * (isRepeated ? REPEATED_MEDIAN_STEP : MEDIAN_STEP);
    double moved = median + Math.max(-step, Math.min(step, statedMillis - median));
    medians.put(route, moved);
    return isRepeated ? (long) (median - statedMillis) : 0;
  }
}
