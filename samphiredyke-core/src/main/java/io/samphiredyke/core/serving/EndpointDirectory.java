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
 * The endpoints that may take requests, from what the platform's registry said.
 *
 * <p>The registry drops entries whose lease lapses, also while it is down itself. After an outage a
 * removal therefore counts only when the entry has stayed away for the grace period.
 */
public final class EndpointDirectory {

  /** Learns of what changed. */
  public interface Listener {

    /** An endpoint takes requests from now on, or states new facts of itself. */
    void available(EndpointRecord endpoint);

    /** An endpoint takes no further requests. */
    void unavailable(EndpointRecord endpoint, String reason);
  }

  private final long graceNanos;
  private final Listener listener;
  private final Map<String, EndpointRecord> available = new LinkedHashMap<>();
  private final Map<String, Long> lapsedAt = new HashMap<>();
  private boolean outage;
  private long graceUntil;
  private boolean inGrace;

  /**
   * Creates an empty directory.
   *
   * @param graceNanos how long entries may stay away after the registry's return
   */
  public EndpointDirectory(long graceNanos, Listener listener) {
    this.graceNanos = graceNanos;
    this.listener = listener;
  }

  /** Notes that the registry can't be read. */
  public void registryLost() {
    outage = true;
  }

  /** Notes that the registry was read; after an outage the grace period starts. */
  public void registryRead(long now) {
    if (outage) {
      outage = false;
      inGrace = true;
      graceUntil = now + graceNanos;
    }
  }

  /** Takes an entry. */
  public void put(EndpointRecord endpoint) {
    lapsedAt.remove(endpoint.id());
    if (endpoint.isDraining()) {
      drop(endpoint.id(), "draining");
      return;
    }
    EndpointRecord known = available.put(endpoint.id(), endpoint);
    if (known == null || !endpoint.withoutWarmUp().equals(known.withoutWarmUp())) {
      listener.available(endpoint);
    }
  }

  /** Takes the removal of an entry. */
  public void remove(String id, long now) {
    if (inGrace && now - graceUntil < 0 && available.containsKey(id)) {
      lapsedAt.putIfAbsent(id, now);
      return;
    }
    drop(id, "removed");
  }

  /** Replaces all entries by those of a whole list. */
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

  /** Ends the grace period when it is over. */
  public void tick(long now) {
    if (!inGrace || now - graceUntil < 0) {
      return;
    }
    inGrace = false;
    List.copyOf(lapsedAt.keySet()).forEach(id -> drop(id, "lapsed"));
    lapsedAt.clear();
  }

  private void drop(String id, String reason) {
    lapsedAt.remove(id);
    EndpointRecord known = available.remove(id);
    if (known != null) {
      listener.unavailable(known, reason);
    }
  }

  /** Returns an endpoint that takes requests, or null. */
  public @Nullable EndpointRecord find(String id) {
    return available.get(id);
  }

  /** Returns all endpoints that take requests. */
  public List<EndpointRecord> all() {
    return new ArrayList<>(available.values());
  }
}
