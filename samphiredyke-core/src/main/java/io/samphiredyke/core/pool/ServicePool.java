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

/** Scheduler state of one service: its endpoints and the queue of waiting requests. */
final class ServicePool {

  private static final double NANOS_PER_MILLI = 1e6;

  /** Assumed prefix cache capacity of an engine that states none, tokens. */
  private static final long DEFAULT_CACHE_TOKENS = 400_000;

  /** Shortest and longest retry time of a refused request, milliseconds. */
  private static final long MIN_RETRY_MILLIS = 50;

  private static final long MAX_RETRY_MILLIS = 5_000;

  private final PoolListener listener;
  private final RandomGenerator random;
  private final RetryBudget retryBudget;
  private final Map<String, EndpointLoad> endpoints = new HashMap<>();
  private final List<SlotRequest> waiting = new ArrayList<>();
  private double capacityShare = 1;
  private boolean isEngine;
  private long cacheTokens = DEFAULT_CACHE_TOKENS;

  ServicePool(PoolListener listener, RandomGenerator random, RetryBudget budget) {
    this.listener = listener;
    this.random = random;
    this.retryBudget = budget;
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
   * Sets the fraction of the slots that may be granted.
   *
   * <p>Needed when all hosts restart together: until they discover each other, each of them
   * schedules alone. With six hosts granting all slots, requests queue in the engines for seconds.
   */
  void setCapacityShare(double updated) {
    capacityShare = updated;
  }

  /** Records a grant of another scheduler. */
  void restoreGrant(String endpointId, SlotRequest request, long now) {
    EndpointLoad endpoint = endpoints.get(endpointId);
    if (endpoint != null) {
      endpoint.restoreGrant(request, now);
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

  /** Grants, queues or refuses a request. */
  void submit(SlotRequest request, long now) {
    if (request.isRetry()) {
      if (!retryBudget.tryRetry()) {
        refuse(request, SlotRefusal.Reason.NO_RETRY_BUDGET, now);
        return;
      }
    } else {
      retryBudget.requestStarted();
    }
    if (endpoints.isEmpty()) {
      refuse(request, SlotRefusal.Reason.NO_ENDPOINT, now);
      return;
    }
    waiting.add(request);
    grantFreeSlots(now);
    if (isWaiting(request.id())) {
      refuseUnservable(now);
    }
  }

  /** Removes a waiting request; returns it, or null if it is not waiting. */
  @Nullable SlotRequest withdraw(long requestId) {
    for (SlotRequest request : waiting) {
      if (request.id() == requestId) {
        waiting.removeIf(each -> each.id() == requestId);
        return request;
      }
    }
    return null;
  }

  boolean isWaiting(long requestId) {
    for (SlotRequest request : waiting) {
      if (request.id() == requestId) {
        return true;
      }
    }
    return false;
  }

  /** Grants free slots to the waiting requests, in the order of {@link SlotRequestOrder}. */
  void grantFreeSlots(long now) {
    while (!waiting.isEmpty() && hasFreeSlot(now)) {
      SlotRequest best = null;
      EndpointLoad target = null;
      for (SlotRequest request : inGrantOrder(now)) {
        EndpointLoad candidate = bestEndpoint(request, now);
        if (candidate != null) {
          best = request;
          target = candidate;
          break;
        }
      }
      if (best == null || target == null) {
        return;
      }
      withdraw(best.id());
      target.grant(best, now);
      listener.granted(best, target.endpoint().id());
    }
  }

  /**
   * Returns whether pauses after failures are ignored. When at least half of the endpoints fail,
   * the cause is probably common to them, and pausing them would make the service unavailable.
   */
  private boolean ignoresPauses(long now) {
    int paused = 0;
    for (EndpointLoad endpoint : endpoints.values()) {
      paused += endpoint.isPaused(now) ? 1 : 0;
    }
    return paused * 2 >= endpoints.size();
  }

  private boolean hasFreeSlot(long now) {
    boolean ignorePause = ignoresPauses(now);
    for (EndpointLoad endpoint : endpoints.values()) {
      if (freeSlots(endpoint, now, ignorePause) > 0) {
        return true;
      }
    }
    return false;
  }

  /** Returns the free slots within the capacity share, which is at least one slot per service. */
  private int freeSlots(EndpointLoad endpoint, long now, boolean ignorePause) {
    int free = endpoint.freeSlots(now, ignorePause, capacityShare);
    boolean isGuaranteed =
        capacityShare < 1 && endpoint.runningCount() == 0 && endpoint == guaranteedEndpoint();
    return isGuaranteed ? Math.max(1, free) : free;
  }

  /** Returns the endpoint at which a slot may always be granted, or null without endpoints. */
  private @Nullable EndpointLoad guaranteedEndpoint() {
    EndpointLoad best = null;
    for (EndpointLoad endpoint : endpoints.values()) {
      if (best == null || endpoint.roundingOffset() > best.roundingOffset()) {
        best = endpoint;
      }
    }
    return best;
  }

  private List<SlotRequest> inGrantOrder(long now) {
    if (waiting.size() == 1) {
      return waiting;
    }
    List<SlotRequest> ordered = new ArrayList<>(waiting);
    ordered.sort(new SlotRequestOrder(now));
    return ordered;
  }

  private @Nullable EndpointLoad bestEndpoint(SlotRequest request, long now) {
    EndpointLoad best = null;
    double bestMillis = Double.MAX_VALUE;
    boolean ignorePause = ignoresPauses(now);
    for (EndpointLoad endpoint : endpoints.values()) {
      if (freeSlots(endpoint, now, ignorePause) == 0
          || request.excluded().contains(endpoint.endpoint().id())) {
        continue;
      }
      double millis = endpoint.expectedCostMillis(request) + random.nextDouble();
      if (millis < bestMillis) {
        bestMillis = millis;
        best = endpoint;
      }
    }
    return best;
  }

  /** Refuses the requests that are not expected to start before their start deadline. */
  void refuseUnservable(long now) {
    if (waiting.isEmpty()) {
      return;
    }
    if (capacityShare < 1) {
      refuseOverdue(now);
      return;
    }
    List<Long> freeTimes = new ArrayList<>();
    boolean ignorePause = ignoresPauses(now);
    for (EndpointLoad endpoint : endpoints.values()) {
      endpoint.addSlotFreeTimes(now, ignorePause, capacityShare, freeTimes);
    }
    Collections.sort(freeTimes);
    double meanMillis = meanTotalMillis();
    int position = 0;
    for (SlotRequest request : List.copyOf(inGrantOrder(now))) {
      long startsAt = expectedStart(position, freeTimes, meanMillis, now);
      if (startsAt <= request.startDeadline() && !freeTimes.isEmpty()) {
        position++;
        continue;
      }
      if (withdraw(request.id()) != null) {
        refuseOverloaded(request, startsAt, now);
      }
    }
  }

  /**
   * Refuses the requests whose start deadline has passed. Used while the group is incomplete, when
   * no host knows all grants and the times at which slots become free can't be estimated.
   */
  private void refuseOverdue(long now) {
    for (SlotRequest request : List.copyOf(waiting)) {
      if (now - request.startDeadline() > 0 && withdraw(request.id()) != null) {
        refuse(request, SlotRefusal.Reason.OVERLOADED, now);
      }
    }
  }

  private static long expectedStart(
      int position, List<Long> freeTimes, double meanMillis, long now) {
    if (freeTimes.isEmpty()) {
      return now + (long) (MAX_RETRY_MILLIS * NANOS_PER_MILLI);
    }
    int rounds = position / freeTimes.size();
    long first = freeTimes.get(position % freeTimes.size());
    return first + (long) (rounds * meanMillis * NANOS_PER_MILLI);
  }

  private double meanTotalMillis() {
    double sum = 0;
    for (SlotRequest request : waiting) {
      double fastest = Double.MAX_VALUE;
      for (EndpointLoad endpoint : endpoints.values()) {
        fastest = Math.min(fastest, endpoint.totalMillis(request));
      }
      sum += fastest;
    }
    return waiting.isEmpty() ? 0 : sum / waiting.size();
  }

  private void refuse(SlotRequest request, SlotRefusal.Reason reason, long now) {
    refuseAt(request, reason, now + (long) (500 * NANOS_PER_MILLI), now);
  }

  private void refuseOverloaded(SlotRequest request, long startsAt, long now) {
    refuseAt(request, SlotRefusal.Reason.OVERLOADED, startsAt, now);
  }

  private void refuseAt(SlotRequest request, SlotRefusal.Reason reason, long startsAt, long now) {
    double spread = 0.8 + 0.4 * random.nextDouble();
    long millis = (long) ((startsAt - now) / NANOS_PER_MILLI * spread);
    long bounded = Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, millis));
    listener.refused(request, new SlotRefusal(reason, bounded));
  }

  /** Frees the slots that a requester was granted and that its report no longer lists. */
  void reconcile(String requester, Set<Long> held, long grantedBefore, long now) {
    for (EndpointLoad endpoint : endpoints.values()) {
      for (long id : endpoint.grantsMissingFromReport(requester, held, grantedBefore)) {
        endpoint.release(id, Outcome.WITHDRAWN, 0, now);
      }
    }
    grantFreeSlots(now);
  }
}
