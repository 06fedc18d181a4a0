package io.samphiredyke.core.pool;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The endpoints that are brittle, and the services whose requests this scheduler has received. A
 * service whose first request in a while arrives was probably scheduled by another host.
 */
final class BrittleEndpoints {

  private final Set<String> ids = new HashSet<>();
  private final Map<String, Long> lastRequestAt = new HashMap<>();

  /**
   * Records a statement of an endpoint.
   *
   * @param refusalsPerSecond what it bears, {@link EndpointLimits#NONE} if it is not brittle
   */
  void stated(String endpointId, double refusalsPerSecond) {
    if (refusalsPerSecond == EndpointLimits.NONE) {
      ids.remove(endpointId);
    } else {
      ids.add(endpointId);
    }
  }

  boolean contains(String endpointId) {
    return ids.contains(endpointId);
  }

  /**
   * Records a request.
   *
   * @param idleNanos time without requests after which it counts as a takeover
   * @return the endpoints with which to be careful, all services together; none if this scheduler
   *     decided for the service before
   */
  Set<String> requested(String service, long idleNanos, long now) {
    Long last = lastRequestAt.put(service, now);
    boolean isTakeover = last == null || now - last > idleNanos;
    return isTakeover ? ids : Set.of();
  }
}
