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
 * removal therefore takes effect only if the entry is still missing after a grace period. The
 * registry may also be restored from an older copy, so an entry is ignored if a newer one of the
 * same instance is known.
 */
public final class EndpointDirectory {

  /** Receives the changes of the directory. */
  public interface Listener {

    /** An endpoint accepts requests from now on, or its record has changed. */
    void available(EndpointRecord endpoint);

    /** An endpoint accepts no further requests. */
    void unavailable(EndpointRecord endpoint, String reason);
  }

  /** Remembered endpoints that have left; bounds the memory to a few megabytes. */
  private static final int MAX_DEPARTED = 4_096;

  private final long graceNanos;
  private final Listener listener;
  private final Map<String, EndpointRecord> available = new LinkedHashMap<>();
  private final Map<String, EndpointRecord> departed =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, EndpointRecord> eldest) {
          return size() > MAX_DEPARTED;
        }
      };
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

  /**
   * Returns whether a newer entry of the same instance is known, or the instance has left: one that
   * drains never accepts requests again, and one whose entry was removed has to renew it.
   */
  public boolean isOutdated(EndpointRecord endpoint) {
    EndpointRecord last = departed.get(endpoint.id());
    if (last != null && last.isSameInstance(endpoint)) {
      boolean isRenewed = endpoint.heartbeat() > last.heartbeat();
      return last.isDraining() ? !endpoint.isDraining() : !isRenewed;
    }
    EndpointRecord known = available.get(endpoint.id());
    return known != null
        && known.isSameInstance(endpoint)
        && endpoint.heartbeat() < known.heartbeat();
  }

  /** Adds or updates an entry unless it is outdated; a draining endpoint is removed. */
  public void put(EndpointRecord endpoint) {
    if (isOutdated(endpoint)) {
      return;
    }
    missingSince.remove(endpoint.id());
    departed.remove(endpoint.id());
    if (endpoint.isDraining()) {
      drop(endpoint.id(), "draining");
      departed.put(endpoint.id(), endpoint);
      return;
    }
    EndpointRecord known = available.put(endpoint.id(), endpoint);
    if (known == null || !endpoint.withoutHeartbeat().equals(known.withoutHeartbeat())) {
      listener.available(endpoint);
    }
  }

  /**
   * Records that an endpoint stated in a response that it leaves. Like a draining entry this holds
   * until a new instance registers.
   *
   * @param startedAtMillis start time of the instance that stated it
   * @return whether the endpoint accepted requests until now
   */
  public boolean markLeaving(String id, long startedAtMillis) {
    EndpointRecord known = available.get(id);
    if (known == null || known.startedAtMillis() != startedAtMillis) {
      return false;
    }
    drop(id, "leaving");
    departed.put(id, known.draining());
    return true;
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
      departed.put(id, known);
      listener.unavailable(known, reason);
    }
  }

  /** Returns an endpoint that accepts requests, or null. */
  public @Nullable EndpointRecord find(String id) {
    return available.get(id);
  }

  /** Returns the endpoints of a service that accept requests. */
  public List<EndpointRecord> ofService(String service) {
    List<EndpointRecord> endpoints = new ArrayList<>();
    for (EndpointRecord endpoint : available.values()) {
      if (endpoint.service().equals(service)) {
        endpoints.add(endpoint);
      }
    }
    return endpoints;
  }

  /** Returns all endpoints that accept requests. */
  public List<EndpointRecord> all() {
    return new ArrayList<>(available.values());
  }
}
