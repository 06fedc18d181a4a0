package io.samphiredyke.core.rollout;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Compares the answers of a new software version with those of the old one over the same time, for
 * each route and for all routes together.
 *
 * <p>Load pattern: both versions serve beside each other, the new one a part of the traffic, while
 * endpoints of either version may fail or turn slow for other reasons.
 */
final class VersionComparison {

  private static final String ALL_ROUTES = "";

  /** Bound of the routes that are distinguished, so that memory stays bounded. */
  private static final int MAX_ROUTES = 64;

  /** An answer is slow for its endpoint if it took this many times the endpoint's median. */
  private static final double UNSTEADY_FACTOR = 2;

  /** Answers of an endpoint from which its median is known. */
  private static final int MIN_TIMED = 2;

  /** Bound of the endpoints whose medians are known. */
  private static final int MAX_ENDPOINTS = 2_000;

  private final Map<String, RunningMedian> medians = new HashMap<>();
  private final Map<String, RouteComparison> routes = new HashMap<>();
  private long answers;
  private @Nullable String finding;

  /** Records an answer of the old version. */
  void oldAnswered(Answer answer, long now) {
    boolean isUnsteady = isUnsteady(answer);
    route(ALL_ROUTES).oldAnswered(answer, isUnsteady, now);
    route(answer.route()).oldAnswered(answer, isUnsteady, now);
  }

  /**
   * Records an answer of the new version.
   *
   * @param endpoints number of endpoints of the new version
   */
  void newAnswered(Answer answer, int endpoints, long now) {
    answers++;
    boolean isUnsteady = isUnsteady(answer);
    for (String name : new String[] {ALL_ROUTES, answer.route()}) {
      String found = route(name).newAnswered(answer, isUnsteady, endpoints, now);
      if (found != null && finding == null) {
        finding = name.isEmpty() ? found : "route " + name + ": " + found;
      }
    }
  }

  private boolean isUnsteady(Answer answer) {
    if (!answer.isTimed()) {
      return false;
    }
    RunningMedian median = medians.get(answer.endpointId());
    if (median == null && medians.size() >= MAX_ENDPOINTS) {
      return false;
    }
    if (median == null) {
      median = new RunningMedian();
      medians.put(answer.endpointId(), median);
    }
    boolean isUnsteady =
        median.count() >= MIN_TIMED && answer.timeRatio() > UNSTEADY_FACTOR * median.value();
    median.add(answer.timeRatio());
    return isUnsteady;
  }

  private RouteComparison route(String name) {
    String key = routes.containsKey(name) || routes.size() < MAX_ROUTES ? name : ALL_ROUTES;
    return routes.computeIfAbsent(key, each -> new RouteComparison());
  }

  /** Returns whether the old version fails so often that little is seen of the new one. */
  boolean isDisturbed(long now) {
    return route(ALL_ROUTES).isDisturbed(now);
  }

  /** Returns how many answers of the new version were compared. */
  long answers() {
    return answers;
  }

  /** Returns in what the new version is worse, or null if it is not known to be. */
  @Nullable String finding() {
    return finding;
  }
}
