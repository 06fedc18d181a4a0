package io.samphiredyke.core.serving;

import java.util.List;

/**
 * Which requests go to which service, and how they are handled.
 *
 * @param name name of the route
 * @param hostName host name that callers ask for, in lower case
 * @param pathPrefix start of the path, with a slash at both ends
 * @param kind what may be repeated
 * @param timeoutMillis longest time that a request is kept waiting, milliseconds
 * @param objectiveMillis time within which the answer, or the first event of a stream, is on time
 * @param eventGapMillis longest pause between two events of a stream that is on time; 0 if not a
 *     stream
 * @param rank importance, 0 first
 * @param targets services with their weights; at least one
 * @param maxAttempts largest number of endpoints that one request may run on
 * @param isPublic whether requests need no key
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
   * A service that takes a share of a route's requests.
   *
   * @param service name of the service
   * @param weight share against the weights of the others
   */
  public record Target(String service, int weight) {}

  /**
   * Picks a service by weight.
   *
   * @param draw a number from 0 inclusive to 1 exclusive
   */
  public String pickService(double draw) {
    long total = targets.stream().mapToLong(Target::weight).sum();
    double left = draw * total;
    for (Target target : targets) {
      left -= target.weight();
      if (left < 0) {
        return target.service();
      }
    }
    return targets.get(targets.size() - 1).service();
  }
}
