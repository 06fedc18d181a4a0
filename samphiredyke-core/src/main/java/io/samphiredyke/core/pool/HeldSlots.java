package io.samphiredyke.core.pool;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Which endpoint each request holds a slot of, by request and by requester. */
final class HeldSlots {

  private final Map<Long, EndpointLoad> endpoints = new HashMap<>();
  private final Map<String, Set<Long>> byRequester = new HashMap<>();

  void add(SlotRequest request, EndpointLoad endpoint) {
    endpoints.put(request.id(), endpoint);
    byRequester.computeIfAbsent(request.requester(), key -> new HashSet<>()).add(request.id());
  }

  void remove(SlotRequest request) {
    endpoints.remove(request.id());
    Set<Long> held = byRequester.get(request.requester());
    if (held != null && held.remove(request.id()) && held.isEmpty()) {
      byRequester.remove(request.requester());
    }
  }

  /** Returns the endpoint at which a request holds a slot, or null. */
  @Nullable EndpointLoad endpoint(long requestId) {
    return endpoints.get(requestId);
  }

  /** Returns the ids of the requests of a requester, unaffected by later changes. */
  List<Long> requestsOf(String requester) {
    return List.copyOf(byRequester.getOrDefault(requester, Set.of()));
  }
}
