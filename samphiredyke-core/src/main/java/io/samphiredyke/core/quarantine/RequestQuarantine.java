package io.samphiredyke.core.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Requests that were found to crash endpoints and are not sent to any, but for trials.
 *
 * <p>The evidence may be wrong, for example if endpoints with copies of a request lost power
 * together. So a single attempt is admitted as a trial after a time. If it is served, the request
 * is released; a crash counts against it, and after {@link Trials#MAX_STRIKES} there are no further
 * trials, so that the number of endpoints that a request can crash is bounded.
 *
 * <p>The number of entries is bounded; if it is exceeded, the caller with the most entries loses
 * its oldest one, so that a caller with many such requests cannot displace those of others. Times
 * are nanoseconds of a monotonic clock.
 */
public final class RequestQuarantine {

  /** Bound of the entries, about three megabytes. */
  static final int MAX_REQUESTS = 16_384;

  private static final int MAX_RELEASED = 4_096;

  /** Time within which a trial is expected to end; after it, another one may begin. */
  private static final long TRIAL_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Retry time while a trial is under way. */
  private static final long RETRY_DURING_TRIAL_MILLIS = 1_000;

  /** Retry time of a request that is refused each time. */
  private static final long RETRY_MILLIS = 3_600_000;

  private final Map<RequestFingerprint, RequestStanding> requests = new LinkedHashMap<>();
  private final Map<String, Integer> countByCaller = new HashMap<>();
  private final Map<RequestFingerprint, Integer> released =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestFingerprint, Integer> eldest) {
          return size() > MAX_RELEASED;
        }
      };
  private long digest;

  /**
   * Adds a request that was found to crash endpoints.
   *
   * @param strikes from 1, more if the request was found late
   * @return whether it is new
   */
  public boolean add(RequestFingerprint request, int strikes, long now) {
    int generation = released.getOrDefault(request, 0) + 1;
    return merge(request, new RequestStanding(generation, strikes, now + Trials.nanosUntilNext(1)));
  }

  /** Returns the standing of a request at the time when it gets a strike. */
  public static RequestStanding standing(int generation, int strikes, long now) {
    return new RequestStanding(generation, strikes, now + Trials.nanosUntilNext(strikes));
  }

  /**
   * Adds a request, or changes its standing, as another host stated it.
   *
   * @return whether the request is new or has more strikes now
   */
  public boolean merge(RequestFingerprint request, RequestStanding stated) {
    if (isReleased(request, stated.generation())) {
      return false;
    }
    RequestStanding known = requests.get(request);
    if (known == null || stated.supersedes(known)) {
      put(request, stated);
      return true;
    }
    if (!known.supersedes(stated) && stated.dueAt() - known.dueAt() > 0) {
      put(request, stated);
    }
    return false;
  }

  private void put(RequestFingerprint request, RequestStanding standing) {
    RequestStanding previous = requests.put(request, standing);
    digest ^= mixed(request, standing);
    if (previous != null) {
      digest ^= mixed(request, previous);
      return;
    }
    countByCaller.merge(request.caller(), 1, Integer::sum);
    if (requests.size() > MAX_REQUESTS) {
      dropOne();
    }
  }

  private void dropOne() {
    String caller = callerWithMost();
    for (RequestFingerprint request : requests.keySet()) {
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

  private @Nullable RequestStanding remove(RequestFingerprint request) {
    RequestStanding removed = requests.remove(request);
    if (removed != null) {
      digest ^= mixed(request, removed);
      countByCaller.computeIfPresent(
          request.caller(), (caller, count) -> count > 1 ? count - 1 : null);
    }
    return removed;
  }

  // Earlier builds, whose entries have no strikes, compute the same for a request that is new.
  private static long mixed(RequestFingerprint request, RequestStanding standing) {
    return request.mixed(standing.generation() - 1, standing.strikes() - 1);
  }

  /**
   * Releases a request that was served, which shows that it is sound.
   *
   * @return the generation in which it is released, 0 if it is not quarantined
   */
  public int release(RequestFingerprint request) {
    RequestStanding removed = remove(request);
    if (removed == null) {
      return 0;
    }
    released.put(request, removed.generation());
    return removed.generation();
  }

  /**
   * Releases a request that another host released.
   *
   * @return whether it was quarantined
   */
  public boolean release(RequestFingerprint request, int generation) {
    released.merge(request, generation, Math::max);
    RequestStanding known = requests.get(request);
    return known != null && known.generation() <= generation && remove(request) != null;
  }

  /** Returns whether a request was released in a generation or later. */
  public boolean isReleased(RequestFingerprint request, int generation) {
    return released.getOrDefault(request, 0) >= generation;
  }

  /** Returns the generation in which a request was released, 0 for none. */
  public int releasedGeneration(RequestFingerprint request) {
    return released.getOrDefault(request, 0);
  }

  /** Returns whether a request is quarantined. */
  public boolean contains(RequestFingerprint request) {
    return requests.containsKey(request);
  }

  /** Returns the standing of a request, or null if it is not quarantined. */
  public @Nullable RequestStanding find(RequestFingerprint request) {
    return requests.get(request);
  }

  /** Returns whether a request may be sent to no endpoint now, not even for a trial. */
  public boolean mustRefuse(RequestFingerprint request, long now) {
    RequestStanding standing = requests.get(request);
    return standing != null && !(standing.hasTrial() && now - standing.dueAt() >= 0);
  }

  /** Returns after which time a refused request should come again, milliseconds. */
  public long retryAfterMillis(RequestFingerprint request, long now) {
    RequestStanding standing = requests.get(request);
    if (standing == null || !standing.hasTrial()) {
      return standing == null ? 0 : RETRY_MILLIS;
    }
    return Math.max(
        RETRY_DURING_TRIAL_MILLIS, TimeUnit.NANOSECONDS.toMillis(standing.dueAt() - now));
  }

  /**
   * Begins the trial of a request that is due.
   *
   * @return the standing to state to other hosts, so that none of them begins another trial
   */
  public RequestStanding beginTrial(RequestFingerprint request, long now) {
    RequestStanding standing = requests.get(request);
    if (standing == null || mustRefuse(request, now)) {
      throw new IllegalStateException("no trial is due of " + request);
    }
    RequestStanding tried =
        new RequestStanding(standing.generation(), standing.strikes(), now + TRIAL_NANOS);
    put(request, tried);
    return tried;
  }

  /**
   * Records a crash in the trial of a request.
   *
   * @return whether the request is still quarantined
   */
  public boolean strike(RequestFingerprint request, long now) {
    RequestStanding standing = requests.get(request);
    if (standing == null) {
      return false;
    }
    put(request, standing(standing.generation(), standing.strikes() + 1, now));
    return true;
  }

  /** Admits another trial after one that ended without a result. */
  public void endTrial(RequestFingerprint request, long now) {
    requests.computeIfPresent(
        request,
        (key, standing) ->
            new RequestStanding(
                standing.generation(), standing.strikes(), now + Trials.nanosUntilNext(1)));
  }

  /** Returns the number of entries. */
  public int size() {
    return requests.size();
  }

  /** Returns a digest that is equal for equal sets of entries, regardless of their times. */
  public long digest() {
    return digest;
  }

  /** Returns all entries, the oldest first. */
  public List<RequestFingerprint> requests() {
    return List.copyOf(requests.keySet());
  }

  /** Returns the entries that were added last, at most a given number. */
  public List<RequestFingerprint> newest(int limit) {
    List<RequestFingerprint> all = new ArrayList<>(requests.keySet());
    return all.subList(Math.max(0, all.size() - limit), all.size());
  }
}
