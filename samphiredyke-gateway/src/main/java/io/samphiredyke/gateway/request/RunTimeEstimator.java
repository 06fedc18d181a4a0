package io.samphiredyke.gateway.request;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long endpoints take to run a request of a route.
 *
 * <p>Load pattern: the stop of a host under load. A request that would run beyond the end of the
 * process is better refused than cut off.
 */
final class RunTimeEstimator {

  /** Weight of a new observation; averages over about the last ten requests. */
  private static final double SMOOTHING = 0.1;

  /** Mean deviations above the mean that cover nearly all requests. */
  private static final double DEVIATIONS = 2;

  private record Estimate(double meanMillis, double deviationMillis) {}

  private final Map<String, Estimate> estimates = new HashMap<>();

  /** Learns from a request that was run. */
  void observe(String route, double millis) {
    Estimate known = estimates.get(route);
    if (known == null) {
      estimates.put(route, new Estimate(millis, 0));
      return;
    }
    double error = millis - known.meanMillis();
    estimates.put(
        route,
        new Estimate(
            known.meanMillis() + SMOOTHING * error,
            known.deviationMillis() + SMOOTHING * (Math.abs(error) - known.deviationMillis())));
  }

  /** Returns the time that nearly all requests of a route take, 0 if none was observed. */
  double upperMillis(String route) {
    Estimate known = estimates.get(route);
    return known == null ? 0 : known.meanMillis() + DEVIATIONS * known.deviationMillis();
  }
}
