package io.samphiredyke.core.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Directory of the endpoints that accept requests, fed from the platform's registry.
 *
 * <p>The registry drops entries whose lease expires, also during its own outages. After an outage a
 * removal therefore takes effect only if the entry is still missing after a grace period.
 */
public final class EndpointDirectory {

  /** Receives the changes of the directory. */
  public interface Listener {

    /** An endpoint accepts requests from now on, or its record has changed. */
    void available(EndpointRecord endpoint);

    /** An endpoint accepts no further requests. */
    void unavailable(EndpointRecord endpoint, String reason);
  }

  private final long graceNanos;
  private final Listener listener;
  private final Map<String, EndpointRecord> available = new LinkedHashMap<>();
  private final Map<String, Long> missingSince = new HashMap<>();
  private boolean registryUnavailable;
  private long graceUntil;
  private boolean inGrace;

  /**
   * Creates an empty directory.
   *
   * @param graceNanos grace period for missing entries after an outage of the registry, nanoseconds
   */
  public EndpointDirectory(long graceNanos, Listener listener) {
    this.graceNanos = graceNanos;
    this.listener = listener;
  }

  /** Records that the registry is unavailable. */
  public void registryLost() {
    registryUnavailable = true;
  }

  /** Records that the registry was read; after an outage this starts the grace period. */
  public void registryRead(long now) {
    if (registryUnavailable) {
      registryUnavailable = false;
      inGrace = true;
      graceUntil = now + graceNanos;
    }
  }

  /** Adds or updates an entry; a draining endpoint is removed. */
  public void put(EndpointRecord endpoint) {
    missingSince.remove(endpoint.id());
    if (endpoint.isDraining()) {
      drop(endpoint.id(), "draining");
      return;
    }
    EndpointRecord known = available.put(endpoint.id(), endpoint);
    if (known == null || !endpoint.withoutWarmUp().equals(known.withoutWarmUp())) {
      listener.available(endpoint);
    }
  }

  /** Removes an entry; during a grace period the removal is deferred to its end. */
  public void remove(String id, long now) {
    if (inGrace && now - graceUntil < 0 && available.containsKey(id)) {
      missingSince.putIfAbsent(id, now);
      return;
    }
    drop(id, "removed");
  }

  /** Replaces all entries by those of a complete list. */
  public void replaceAll(List<EndpointRecord> listed, long now) {
    Set<String> ids = new HashSet<>();
    for (EndpointRecord endpoint : listed) {
      ids.add(endpoint.id());
      put(endpoint);
    }
    for (String id : List.copyOf(available.keySet())) {
      if (!ids.contains(id)) {
        remove(id, now);
      }
    }
  }

  /** Ends the grace period when its time is over, and removes the entries still missing. */
  public void tick(long now) {
    if (!inGrace || now - graceUntil < 0) {
      return;
    }
    inGrace = false;
    List.copyOf(missingSince.keySet()).forEach(id -> drop(id, "lapsed"));
    missingSince.clear();
  }

  private void drop(String id, String reason) {
    missingSince.remove(id);
    EndpointRecord known = available.remove(id);
    if (known != null) {
      listener.unavailable(known, reason);
    }
  }

  /** Returns an endpoint that accepts requests, or null. */
  public @Nullable EndpointRecord find(String id) {
    return available.get(id);
  }

  /** Returns all endpoints that accept requests. */
  public List<EndpointRecord> all() {
    return new ArrayList<>(available.values());
  }
}
