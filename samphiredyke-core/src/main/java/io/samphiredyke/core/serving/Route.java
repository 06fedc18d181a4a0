package io.samphiredyke.core.serving;

import java.util.List;

/**
 * Routing rule: the requests that it matches, their target services and how they are handled.
 *
 * @param name name of the route
 * @param hostName requested host name, in lower case
 * @param pathPrefix prefix of the path, with a slash at both ends
 * @param kind whether requests are streams and whether they may be retried
 * @param timeoutMillis timeout from the arrival of a request to its complete response,
 *     milliseconds; 0 if the route sets none
 * @param objectiveMillis latency objective of the response, or of the first event of a stream,
 *     milliseconds
 * @param eventGapMillis longest pause between two events of a stream that is on time; 0 if not a
 *     stream
 * @param rank priority; 0 is the highest
 * @param targets target services with their weights; at least one
 * @param maxAttempts largest number of endpoints on which one request may run
 * @param isPublic whether requests need no API key
 */
public record Route(
    String name,
    String hostName,
    String pathPrefix,
    RouteKind kind,
    int timeoutMillis,
    int objectiveMillis,
    int eventGapMillis,
    int rank,
    List<Target> targets,
    int maxAttempts,
    boolean isPublic) {

  /**
   * A service that serves a share of a route's requests.
   *
   * @param service name of the service
   * @param weight weight relative to those of the other targets
   */
  public record Target(String service, int weight) {}

  /**
   * Picks a service at random, by weight.
   *
   * @param draw random number from 0 inclusive to 1 exclusive
   */
  public String pickService(double draw) {
    long total = targets.stream().mapToLong(Target::weight).sum();
    double remaining = draw * total;
    for (Target target : targets) {
      remaining -= target.weight();
      if (remaining < 0) {
        return target.service();
      }
    }
    return targets.get(targets.size() - 1).service();
  }
}
