package io.samphiredyke.gateway.request;

import io.samphiredyke.core.serving.EndpointRecord;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Which endpoints of its service a request may be sent to. */
final class EndpointEligibility {

  private final RequestService.Context context;
  private final String service;
  private final Set<String> tried = new HashSet<>();

  EndpointEligibility(RequestService.Context context, String service) {
    this.context = context;
    this.service = service;
  }

  /** Excludes an endpoint for the rest of the request. */
  void exclude(String endpointId) {
    tried.add(endpointId);
  }

  /** Returns when one of the endpoints wants requests from this host, at most the present time. */
  long usableAt(long now) {
    if (context.pauses().isEmpty()) {
      return now;
    }
    List<EndpointRecord> all = context.state().endpoints().ofService(service);
    List<EndpointRecord> untried = untried(all);
    return context.pauses().firstEnd(untried.isEmpty() ? all : untried, now);
  }

  private List<EndpointRecord> untried(List<EndpointRecord> all) {
    return all.stream().filter(endpoint -> !tried.contains(endpoint.id())).toList();
  }

  /** Returns the ids of the endpoints that must not get the request now. */
  Set<String> excluded(long now) {
    if (context.pauses().isEmpty()) {
      return Set.copyOf(tried);
    }
    List<EndpointRecord> all = context.state().endpoints().ofService(service);
    Set<String> unusable = context.pauses().pausedOf(all, now);
    if (!untried(all).isEmpty()) {
      unusable.addAll(tried);
    }
    return Set.copyOf(unusable);
  }
}
