package io.samphiredyke.core.pool;

import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.core.serving.ServiceSpec;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/** The endpoints of one service and the claims that wait for them. */
final class ServicePool {

  private static final double NANOS_PER_MILLI = 1e6;

  /** Memory assumed for the prefix cache where an engine states none, tokens. */
  private static final long DEFAULT_CACHE_TOKENS = 400_000;

  /** Shortest and longest time after which a refused caller is asked to return, milliseconds. */
  private static final long MIN_RETRY_MILLIS = 50;

  private static final long MAX_RETRY_MILLIS = 5_000;

  private final PoolListener listener;
  private final RandomGenerator random;
  private final RetryBudget budget;
  private final Map<String, EndpointLoad> endpoints = new HashMap<>();
  private final List<SlotRequest> waiting = new ArrayList<>();
  private double share = 1;
  private boolean isEngine;
  private long cacheTokens = DEFAULT_CACHE_TOKENS;

  ServicePool(PoolListener listener, RandomGenerator random, RetryBudget budget) {
    this.listener = listener;
    this.random = random;
    this.budget = budget;
  }

  void configure(ServiceSpec spec) {
    isEngine = spec.isEngine();
    cacheTokens = spec.kvCapacityTokens() > 0 ? spec.kvCapacityTokens() : DEFAULT_CACHE_TOKENS;
  }

  void put(EndpointRecord endpoint) {
    EndpointLoad known = endpoints.get(endpoint.id());
    if (known != null) {
      known.update(endpoint);
      return;
    }
    EndpointLoad added = new EndpointLoad(endpoint, isEngine, cacheTokens, random.nextDouble());
    endpoints.put(endpoint.id(), added);
  }

  /**
   * Sets the part of the places that may be given away.
   *
   * <p>It answers a restart of all hosts: until they have found each other each schedules for
   * itself, and places given away six times over fill the engines' queues for seconds.
   */
  void share(double newer) {
    share = newer;
  }

  /** Counts a place that another scheduler granted. */
  void adopt(String endpointId, SlotRequest claim, long now) {
    EndpointLoad endpoint = endpoints.get(endpointId);
    if (endpoint != null) {
      endpoint.adopt(claim, now);
    }
  }

  void remove(String endpointId) {
    endpoints.remove(endpointId);
  }

  @Nullable EndpointLoad endpoint(String id) {
    return endpoints.get(id);
  }

  Iterable<EndpointLoad> endpoints() {
    return endpoints.values();
  }

  int waitingCount() {
    return waiting.size();
  }

  /** Takes a claim: grants, queues or refuses it at once. */
  void claim(SlotRequest claim, long now) {
    if (claim.isRetry()) {
      if (!budget.takeRepeat()) {
        refuse(claim, SlotRefusal.Reason.NO_RETRY_BUDGET, now);
        return;
      }
    } else {
      budget.first();
    }
    if (endpoints.isEmpty()) {
      refuse(claim, SlotRefusal.Reason.NO_ENDPOINT, now);
      return;
    }
    waiting.add(claim);
    dispatch(now);
    if (isWaiting(claim.id())) {
      refuseHopeless(now);
    }
  }

  /** Forgets a waiting claim; returns it, or null if it does not wait here. */
  @Nullable SlotRequest withdraw(long claimId) {
    for (SlotRequest claim : waiting) {
      if (claim.id() == claimId) {
        waiting.removeIf(each -> each.id() == claimId);
        return claim;
      }
    }
    return null;
  }

  boolean isWaiting(long claimId) {
    for (SlotRequest claim : waiting) {
      if (claim.id() == claimId) {
        return true;
      }
    }
    return false;
  }

  /** Grants free places to the claims that wait, best first. */
  void dispatch(long now) {
    while (!waiting.isEmpty() && hasFreePlace(now)) {
      SlotRequest best = null;
      EndpointLoad place = null;
      for (SlotRequest claim : inOrder(now)) {
        EndpointLoad candidate = bestPlace(claim, now);
        if (candidate != null) {
          best = claim;
          place = candidate;
          break;
        }
      }
      if (best == null || place == null) {
        return;
      }
      withdraw(best.id());
      place.grant(best, now);
      listener.granted(best, place.endpoint().id());
    }
  }

  /**
   * Returns whether pauses after failures are ignored: when most endpoints fail, the cause is
   * common to them, and pausing them would close the service.
   */
  private boolean ignoresPauses(long now) {
    int paused = 0;
    for (EndpointLoad endpoint : endpoints.values()) {
      paused += endpoint.isPaused(now) ? 1 : 0;
    }
    return paused * 2 >= endpoints.size();
  }

  private boolean hasFreePlace(long now) {
    boolean ignorePause = ignoresPauses(now);
    for (EndpointLoad endpoint : endpoints.values()) {
      if (freePlaces(endpoint, now, ignorePause) > 0) {
        return true;
      }
    }
    return false;
  }

  /** Free places within this scheduler's part, which is one place of the service at least. */
  private int freePlaces(EndpointLoad endpoint, long now, boolean ignorePause) {
    int free = endpoint.freePlaces(now, ignorePause, share);
    boolean isOnly = share < 1 && endpoint.runningCount() == 0 && endpoint == favoured();
    return isOnly ? Math.max(1, free) : free;
  }

  private @Nullable EndpointLoad favoured() {
    EndpointLoad best = null;
    for (EndpointLoad endpoint : endpoints.values()) {
      if (best == null || endpoint.shareOffset() > best.shareOffset()) {
        best = endpoint;
      }
    }
    return best;
  }

  private List<SlotRequest> inOrder(long now) {
    if (waiting.size() == 1) {
      return waiting;
    }
    List<SlotRequest> ordered = new ArrayList<>(waiting);
    ordered.sort(new SlotRequestOrder(now));
    return ordered;
  }

  private @Nullable EndpointLoad bestPlace(SlotRequest claim, long now) {
    EndpointLoad best = null;
    double bestMillis = Double.MAX_VALUE;
    boolean ignorePause = ignoresPauses(now);
    for (EndpointLoad endpoint : endpoints.values()) {
      if (freePlaces(endpoint, now, ignorePause) == 0
          || claim.excluded().contains(endpoint.endpoint().id())) {
        continue;
      }
      double millis = endpoint.placementMillis(claim) + random.nextDouble();
      if (millis < bestMillis) {
        bestMillis = millis;
        best = endpoint;
      }
    }
    return best;
  }

  /** Refuses the claims that are not expected to start while that still serves their callers. */
  void refuseHopeless(long now) {
    if (waiting.isEmpty()) {
      return;
    }
    if (share < 1) {
      refuseOverdue(now);
      return;
    }
    List<Long> free = new ArrayList<>();
    boolean ignorePause = ignoresPauses(now);
    for (EndpointLoad endpoint : endpoints.values()) {
      endpoint.addFreeTimes(now, ignorePause, share, free);
    }
    Collections.sort(free);
    double meanMillis = meanTotalMillis();
    int position = 0;
    for (SlotRequest claim : List.copyOf(inOrder(now))) {
      long startsAt = startOf(position, free, meanMillis, now);
      if (startsAt <= claim.startDeadline() && !free.isEmpty()) {
        position++;
        continue;
      }
      if (withdraw(claim.id()) != null) {
        refuseUntil(claim, startsAt, now);
      }
    }
  }

  /** While the group is not whole nobody knows when places will be free; only time decides. */
  private void refuseOverdue(long now) {
    for (SlotRequest claim : List.copyOf(waiting)) {
      if (now - claim.startDeadline() > 0 && withdraw(claim.id()) != null) {
        refuse(claim, SlotRefusal.Reason.OVERLOADED, now);
      }
    }
  }

  private static long startOf(int position, List<Long> free, double meanMillis, long now) {
    if (free.isEmpty()) {
      return now + (long) (MAX_RETRY_MILLIS * NANOS_PER_MILLI);
    }
    int turns = position / free.size();
    long first = free.get(position % free.size());
    return first + (long) (turns * meanMillis * NANOS_PER_MILLI);
  }

  private double meanTotalMillis() {
    double sum = 0;
    for (SlotRequest claim : waiting) {
      double fastest = Double.MAX_VALUE;
      for (EndpointLoad endpoint : endpoints.values()) {
        fastest = Math.min(fastest, endpoint.totalMillis(claim));
      }
      sum += fastest;
    }
    return waiting.isEmpty() ? 0 : sum / waiting.size();
  }

  private void refuse(SlotRequest claim, SlotRefusal.Reason reason, long now) {
    refuseAt(claim, reason, now + (long) (500 * NANOS_PER_MILLI), now);
  }

  private void refuseUntil(SlotRequest claim, long startsAt, long now) {
    refuseAt(claim, SlotRefusal.Reason.OVERLOADED, startsAt, now);
  }

  private void refuseAt(SlotRequest claim, SlotRefusal.Reason reason, long startsAt, long now) {
    double spread = 0.8 + 0.4 * random.nextDouble();
    long millis = (long) ((startsAt - now) / NANOS_PER_MILLI * spread);
    long bounded = Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, millis));
    listener.refused(claim, new SlotRefusal(reason, bounded));
  }

  /** Compares an owner's report with what it was granted, and frees what it no longer holds. */
  void reconcile(String owner, Set<Long> held, long grantedBefore, long now) {
    for (EndpointLoad endpoint : endpoints.values()) {
      for (long id : endpoint.forgotten(owner, held, grantedBefore)) {
        endpoint.release(id, Outcome.WITHDRAWN, 0, now);
      }
    }
    dispatch(now);
  }
}
