package io.samphiredyke.gateway.request;

import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.core.serving.StreamOrigin;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Which endpoints of its service a request may be sent to. */
final class EndpointEligibility {

  private final RequestService.Context context;
  private String service;
  private @Nullable StreamOrigin origin;
  private final Set<String> tried = new HashSet<>();

  EndpointEligibility(RequestService.Context context, String service) {
    this.context = context;
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

  /** Returns whether the request has been sent to an endpoint before. */
  boolean hasTried(String endpointId) {
    return tried.contains(endpointId);
  }

  /** Returns when one of the endpoints wants requests from this host, at most the present time. */
  long usableAt(long now) {
    if (context.pauses().isEmpty()) {
      return now;
    }
    List<EndpointRecord> all =
        context.state().endpoints().ofService(service).stream().filter(this::includes).toList();
    List<EndpointRecord> untried = untried(all);
    return all.isEmpty() ? now : context.pauses().firstEnd(untried.isEmpty() ? all : untried, now);
  }

  private List<EndpointRecord> untried(List<EndpointRecord> all) {
    return all.stream()
        .filter(endpoint -> includes(endpoint) && !tried.contains(endpoint.id()))
        .toList();
  }

  /** Returns the ids of the endpoints that must not get the request now. */
  Set<String> excluded(long now) {
    boolean hasPauses = !context.pauses().isEmpty();
    if (!hasPauses && origin == null) {
      return Set.copyOf(tried);
    }
    List<EndpointRecord> all = context.state().endpoints().ofService(service);
    Set<String> unusable = hasPauses ? context.pauses().pausedOf(all, now) : new HashSet<>();
    if (!hasPauses || !untried(all).isEmpty()) {
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
