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

  /** Multiple of the slowest observed run that covers the runs of a loaded host or endpoint. */
  private static final int SLOWEST_HEADROOM = 2;

  /** Part by which the slowest run fades with each new observation. */
  private static final double SLOWEST_DECAY = 0.01;

  private record Estimate(double meanMillis, double deviationMillis, double slowestMillis) {

    double upperMillis() {
      return meanMillis + DEVIATIONS * deviationMillis;
    }
  }

  private final Map<String, Estimate> estimates = new HashMap<>();

  /** Learns from a request that was run. */
  void observe(String route, double millis) {
    Estimate known = estimates.get(route);
    if (known == null) {
      estimates.put(route, new Estimate(millis, 0, millis));
      return;
    }
    double error = millis - known.meanMillis();
    estimates.put(
        route,
        new Estimate(
            known.meanMillis() + SMOOTHING * error,
            known.deviationMillis() + SMOOTHING * (Math.abs(error) - known.deviationMillis()),
            Math.max(millis, known.slowestMillis() * (1 - SLOWEST_DECAY))));
  }

  /** Returns the time that nearly all requests of a route take, 0 if none was observed. */
  double upperMillis(String route) {
    Estimate known = estimates.get(route);
    return known == null ? 0 : known.upperMillis();
  }

  /** Returns the time in which all requests of a route end, infinite if none was observed. */
  double slowestMillis(String route) {
    Estimate known = estimates.get(route);
    return known == null
        ? Double.POSITIVE_INFINITY
        : SLOWEST_HEADROOM * Math.max(known.slowestMillis(), known.upperMillis());
  }
}
