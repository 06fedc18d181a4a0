package io.samphiredyke.core.pool;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Which requesters do not reach the endpoints of a service.
 *
 * <p>Load pattern: hosts that are cut off from all endpoints for seconds, while others reach them.
 * Their failures say nothing of the endpoints.
 */
final class RequesterPaths {

  /** Failures without any success after which a requester counts as cut off. */
  private static final int FAILURES_TO_LOSE = 4;

  /** How long another requester's success shows that the endpoints are sound. */
  private static final long OTHER_NANOS = 2_000_000_000L;

  /** Time without failures after which a requester is forgotten. */
  private static final long EXPIRY_NANOS = 30_000_000_000L;

  /** Receives the changes. */
  interface Listener {
    /** Called when the path of a requester is lost or found. */
    void changed(String requester, boolean isLost);
  }

  private static final class Failing {
    private final String firstEndpoint;
    private int failures;
    private boolean atSeveral;
    private long failedAt;

    private Failing(String firstEndpoint) {
      this.firstEndpoint = firstEndpoint;
    }
  }

  private final Listener listener;
  private final Set<String> lost = new HashSet<>();

  /** Failures of the requesters that are not lost, in the order of the last ones. */
  private final Map<String, Failing> failing = new LinkedHashMap<>();

  private final LatestRequesters working = new LatestRequesters();

  RequesterPaths(Listener listener) {
    this.listener = listener;
  }

  /** Returns whether a requester reaches no endpoint, as far as is known. */
  boolean isLost(String requester) {
    return lost.contains(requester);
  }

  /** Records that a requester has received something from an endpoint. */
  void worked(String requester, long now) {
    forget(requester);
    working.add(requester, now);
  }

  /** Forgets the failures of a requester. */
  void forget(String requester) {
    failing.remove(requester);
    if (lost.remove(requester)) {
      listener.changed(requester, false);
    }
  }

  /**
   * Records how a request ended.
   *
   * @param ended the request, null if it is not known
   * @param endpoints number of endpoints of the service
   * @return what the failures of the requester so far show
   */
  RequesterPath ended(
      @Nullable RunningRequest ended, String endpointId, Outcome outcome, int endpoints, long now) {
    if (ended == null) {
      return RequesterPath.SOUND;
    }
    String requester = ended.request.requester();
    switch (outcome) {
      case FAILED, BROKEN_OFF -> {
        return failed(requester, endpointId, endpoints, now);
      }
      case SERVED, ERRORED, FULL -> worked(requester, now);
      default -> {}
    }
    return RequesterPath.SOUND;
  }

  private RequesterPath failed(String requester, String endpointId, int endpoints, long now) {
    if (lost.contains(requester)) {
      return RequesterPath.LOST;
    }
    Failing known = failing.remove(requester);
    if (known == null) {
      expire(now);
      known = new Failing(endpointId);
    }
    failing.put(requester, known);
    known.failures++;
    known.failedAt = now;
    known.atSeveral |= !known.firstEndpoint.equals(endpointId);
    if (!working.includesOther(requester, now - OTHER_NANOS)) {
      return RequesterPath.SOUND;
    }
    if (known.failures >= FAILURES_TO_LOSE && (known.atSeveral || endpoints == 1)) {
      failing.remove(requester);
      lost.add(requester);
      listener.changed(requester, true);
      return RequesterPath.LOST;
    }
    return known.atSeveral ? RequesterPath.DOUBTFUL : RequesterPath.SOUND;
  }

  private void expire(long now) {
    Iterator<Failing> oldestFirst = failing.values().iterator();
    while (oldestFirst.hasNext() && now - oldestFirst.next().failedAt > EXPIRY_NANOS) {
      oldestFirst.remove();
    }
  }

  /** Returns the number of requesters whose latest request failed. */
  int failingCount() {
    return failing.size() + lost.size();
  }
}
