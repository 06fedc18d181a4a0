package io.samphiredyke.core.pool;

import io.samphiredyke.core.quarantine.RequestFingerprint;
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
  private final Map<RequestFingerprint, Integer> isolated = new HashMap<>();

  void add(SlotRequest request, EndpointLoad endpoint) {
    if (endpoints.put(request.id(), endpoint) != null) {
      return;
    }
    if (request.isolated() != null) {
      isolated.merge(request.isolated(), 1, Integer::sum);
    }
    byRequester.computeIfAbsent(request.requester(), key -> new HashSet<>()).add(request.id());
  }

  void remove(SlotRequest request) {
    if (endpoints.remove(request.id()) == null) {
      return;
    }
    if (request.isolated() != null) {
      isolated.computeIfPresent(request.isolated(), (key, count) -> count > 1 ? count - 1 : null);
    }
    Set<Long> held = byRequester.get(request.requester());
    if (held != null && held.remove(request.id()) && held.isEmpty()) {
      byRequester.remove(request.requester());
    }
  }

  /** Returns whether an isolated request with the same content holds a slot. */
  boolean runsAlike(SlotRequest request) {
    return request.isolated() != null && isolated.containsKey(request.isolated());
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
