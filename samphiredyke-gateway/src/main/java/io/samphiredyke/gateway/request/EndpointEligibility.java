package io.samphiredyke.gateway.request;

import io.samphiredyke.core.pool.EndpointPauses;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.core.serving.StreamOrigin;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/** Which endpoints of its service a request may be sent to. */
final class EndpointEligibility {

  private final EndpointPauses pauses;
  private final Function<String, List<EndpointRecord>> endpointsOf;
  private String service;
  private @Nullable StreamOrigin origin;
  private final Set<String> tried = new HashSet<>();
  private boolean hasAwaitedPause;

  /**
   * Creates an instance that permits all endpoints of a service.
   *
   * @param endpointsOf returns the present endpoints of a service
   */
  EndpointEligibility(
      EndpointPauses pauses, Function<String, List<EndpointRecord>> endpointsOf, String service) {
    this.pauses = pauses;
    this.endpointsOf = endpointsOf;
    this.service = service;
  }

  /** Restricts the request to endpoints that may continue a stream that began at one of them. */
  void restrictTo(StreamOrigin value) {
    service = value.service();
    origin = value;
  }

  String service() {
    return service;
  }

  /** Returns whether the request may be sent to an endpoint. */
  boolean includes(EndpointRecord endpoint) {
    return origin == null || origin.includes(endpoint);
  }

  /** Excludes an endpoint for the rest of the request. */
  void exclude(String endpointId) {
    tried.add(endpointId);
  }

  /** Readmits endpoints that were tried, as the request waits for the end of their pause. */
  void awaitPause() {
    hasAwaitedPause = true;
  }

  /** Returns when one of the endpoints wants requests from this host, at most the present time. */
  long usableAt(long now) {
    if (pauses.isEmpty()) {
      return now;
    }
    List<EndpointRecord> all = endpointsOf.apply(service).stream().filter(this::includes).toList();
    List<EndpointRecord> untried = untried(all);
    return all.isEmpty() ? now : pauses.firstEnd(untried.isEmpty() ? all : untried, now);
  }

  private List<EndpointRecord> untried(List<EndpointRecord> all) {
    return all.stream()
        .filter(endpoint -> includes(endpoint) && !tried.contains(endpoint.id()))
        .toList();
  }

  /** Returns the ids of the endpoints that must not get the request now. */
  Set<String> excluded(long now) {
    boolean mayRepeat = hasAwaitedPause || !pauses.isEmpty();
    if (!mayRepeat && origin == null) {
      return Set.copyOf(tried);
    }
    List<EndpointRecord> all = endpointsOf.apply(service);
    Set<String> unusable = pauses.pausedOf(all, now);
    if (!mayRepeat || !untried(all).isEmpty()) {
      unusable.addAll(tried);
    }
    for (EndpointRecord endpoint : all) {
      if (!includes(endpoint)) {
        unusable.add(endpoint.id());
      }
    }
    return Set.copyOf(unusable);
  }
}
