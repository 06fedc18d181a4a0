package io.samphiredyke.core.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Requests that crash endpoints and must not be sent to any.
 *
 * <p>An entry has no end, because a request that comes again would crash endpoints again. The
 * number of entries is bounded; if it is exceeded, the caller with the most entries loses its
 * oldest one, so that a caller with many such requests cannot displace those of others.
 */
public final class RequestQuarantine {

  /** Bound of the entries, about two megabytes. */
  static final int MAX_REQUESTS = 16_384;

  private final Set<RequestFingerprint> requests = new LinkedHashSet<>();
  private final Map<String, Integer> countByCaller = new HashMap<>();
  private long digest;

  /** Adds a request; returns whether it is new. */
  public boolean add(RequestFingerprint request) {
    if (!requests.add(request)) {
      return false;
    }
    digest ^= request.mixed();
    countByCaller.merge(request.caller(), 1, Integer::sum);
    if (requests.size() > MAX_REQUESTS) {
      dropOne();
    }
    return true;
  }

  private void dropOne() {
    String caller = callerWithMost();
    for (RequestFingerprint request : requests) {
      if (request.caller().equals(caller)) {
        remove(request);
        return;
      }
    }
  }

  private @Nullable String callerWithMost() {
    String found = null;
    int most = 0;
    for (Map.Entry<String, Integer> entry : countByCaller.entrySet()) {
      if (entry.getValue() > most) {
        found = entry.getKey();
        most = entry.getValue();
      }
    }
    return found;
  }

  private void remove(RequestFingerprint request) {
    requests.remove(request);
    digest ^= request.mixed();
    countByCaller.computeIfPresent(
        request.caller(), (caller, count) -> count > 1 ? count - 1 : null);
  }

  /** Returns whether a request must not be sent to endpoints. */
  public boolean contains(RequestFingerprint request) {
    return requests.contains(request);
  }

  /** Returns the number of entries. */
  public int size() {
    return requests.size();
  }

  /** Returns a digest that is equal for equal sets of entries. */
  public long digest() {
    return digest;
  }

  /** Returns all entries, the oldest first. */
  public List<RequestFingerprint> requests() {
    return List.copyOf(requests);
  }

  /** Returns the entries that were added last, at most a given number. */
  public List<RequestFingerprint> newest(int limit) {
    List<RequestFingerprint> all = new ArrayList<>(requests);
    return all.subList(Math.max(0, all.size() - limit), all.size());
  }
}
