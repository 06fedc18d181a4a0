package io.samphiredyke.core.pool;

import io.samphiredyke.core.serving.EndpointRecord;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Endpoints that want no requests from this host until a time, because they have refused one.
 *
 * <p>A pause ends early only for a new instance of the endpoint. Of several pauses the one that
 * ends last holds.
 */
public final class EndpointPauses {

  private record Pause(long startedAtMillis, long until) {}

  private final Map<String, Pause> pauses = new HashMap<>();

  /**
   * Pauses an endpoint.
   *
   * @return whether this prolongs its pause
   */
  public boolean pause(EndpointRecord endpoint, long until) {
    Pause known = pauses.get(endpoint.id());
    if (known != null
        && known.startedAtMillis() == endpoint.startedAtMillis()
        && known.until() - until >= 0) {
      return false;
    }
    pauses.put(endpoint.id(), new Pause(endpoint.startedAtMillis(), until));
    return true;
  }

  /** Returns whether any endpoint may be paused, which is rare. */
  public boolean isEmpty() {
    return pauses.isEmpty();
  }

  /** Returns whether an endpoint is paused. */
  public boolean isPaused(EndpointRecord endpoint, long now) {
    return pausedUntil(endpoint, now) > now;
  }

  private long pausedUntil(EndpointRecord endpoint, long now) {
    Pause pause = pauses.get(endpoint.id());
    if (pause == null || pause.startedAtMillis() != endpoint.startedAtMillis()) {
      return now;
    }
    return Math.max(now, pause.until());
  }

  /** Returns the ids of the paused ones among some endpoints. */
  public Set<String> pausedOf(Iterable<EndpointRecord> endpoints, long now) {
    Set<String> paused = new HashSet<>();
    for (EndpointRecord endpoint : endpoints) {
      if (isPaused(endpoint, now)) {
        paused.add(endpoint.id());
      }
    }
    return paused;
  }

  /**
   * Returns when the first of some endpoints is not paused.
   *
   * @return the current time if there are none, or one of them is not paused
   */
  public long firstEnd(Iterable<EndpointRecord> endpoints, long now) {
    long first = Long.MAX_VALUE;
    for (EndpointRecord endpoint : endpoints) {
      first = Math.min(first, pausedUntil(endpoint, now));
    }
    return first == Long.MAX_VALUE ? now : first;
  }

  /** Forgets the pauses that have ended. */
  public void expire(long now) {
    pauses.values().removeIf(pause -> pause.until() - now <= 0);
  }

  /** Returns the number of paused endpoints. */
  public int size() {
    return pauses.size();
  }
}
