package io.samphiredyke.core.pool;

import io.samphiredyke.core.quarantine.RequestFingerprint;
import io.samphiredyke.core.serving.CustomerSpec;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.core.serving.ServiceSpec;
import java.util.Collection;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/** Scheduler state of one service: its endpoints and the queue of waiting requests. */
final class ServicePool {

  private static final double NANOS_PER_MILLI = 1e6;

  /** Assumed prefix cache capacity of an engine that states none, tokens. */
  private static final long DEFAULT_CACHE_TOKENS = 400_000;

  /** Bounds the value density to [1/2, 2], so that neither long nor short requests starve. */
  private static final double MAX_DENSITY_RATIO = 2;

  private final PoolListener listener;
  private final RandomGenerator random;
  private final RetryTimes retryTimes;
  private final RetryBudget retryBudget;
  private final CrashGuard crashGuard;
  private final ServiceLatency latency = new ServiceLatency();
  private final RequesterPaths paths;
  private final EndpointIndex endpoints;
  private final WaitingQueue waiting = new WaitingQueue();
  private final SlotTurnover turnover = new SlotTurnover();
  private final StartForecast forecast;
  private final RankStatistics ranks = new RankStatistics();
  private final CustomerShares shares = new CustomerShares();
  private final HeldSlots held = new HeldSlots();
  private final OverdueChecks overdueChecks = new OverdueChecks();
  private double capacityShare = 1;
  private boolean isEngine;
  private long cacheTokens = DEFAULT_CACHE_TOKENS;
  private final AverageWork averageWork = new AverageWork();
  private final VersionTraffic versions;

  ServicePool(
      PoolListener listener, RandomGenerator random, RetryBudget budget, CrashGuard crashGuard) {
    this.listener = listener;
    this.crashGuard = crashGuard;
    this.random = random;
    this.retryTimes = new RetryTimes(random);
    this.retryBudget = budget;
    this.paths = new RequesterPaths(waiting::setWithoutPath);
    this.endpoints = new EndpointIndex(random, paths);
    this.forecast = new StartForecast(turnover, endpoints);
    this.versions = new VersionTraffic(endpoints, latency);
  }

  void configure(ServiceSpec spec) {
    isEngine = spec.isEngine();
    cacheTokens = spec.kvCapacityTokens() > 0 ? spec.kvCapacityTokens() : DEFAULT_CACHE_TOKENS;
  }

  /** Sets the customers that share the slots. */
  void setCustomers(Collection<CustomerSpec> customers) {
    shares.configure(customers);
  }

  void put(EndpointRecord endpoint, long now) {
    EndpointLoad known = endpoints.find(endpoint.id());
    if (known != null) {
      endpoints.change(known, () -> known.update(endpoint, now));
      return;
    }
    endpoints.add(
        new EndpointLoad(endpoint, isEngine, cacheTokens, latency, random.nextDouble(), now));
  }

  /**
   * Sets the fraction of the slots that may be granted.
   *
   * <p>Needed when all hosts restart together: until they discover each other, each of them
   * schedules alone. With six hosts granting all slots, requests queue in the engines for seconds.
   */
  void setCapacityShare(double updated) {
    capacityShare = updated;
    endpoints.setCapacityShare(updated);
  }

  /** Returns the split of the requests between software versions. */
  VersionTraffic versions() {
    return versions;
  }

  /** Applies what an endpoint states about itself. */
  void stated(String endpointId, Consumer<EndpointLoad> statement) {
    EndpointLoad endpoint = endpoints.find(endpointId);
    if (endpoint != null) {
      endpoints.change(endpoint, () -> statement.accept(endpoint));
    }
  }

  /** Records a grant of another scheduler. */
  void restoreGrant(String endpointId, SlotRequest request, long now) {
    EndpointLoad endpoint = endpoints.find(endpointId);
    if (endpoint != null) {
      endpoints.change(endpoint, () -> endpoint.restoreGrant(request, now));
      held.add(request, endpoint);
    }
  }

  void remove(String endpointId) {
    EndpointLoad removed = endpoints.remove(endpointId);
    if (removed == null) {
      return;
    }
    removed.releaseAll().forEach(entry -> held.remove(entry.request));
  }

  @Nullable EndpointLoad endpoint(String id) {
    return endpoints.find(id);
  }

  /** Returns the endpoint at which a request holds a slot, or null. */
  @Nullable EndpointLoad holder(long requestId) {
    return held.endpoint(requestId);
  }

  int waitingCount() {
    return waiting.size();
  }

  /** Grants, queues or refuses a request. */
  void submit(SlotRequest request, long now) {
    SlotRefusal quarantined = crashGuard.refusalOfArriving(request, now);
    if (quarantined != null) {
      listener.refused(request, quarantined);
      return;
    }
    if (request.isRetry()) {
      if (!retryBudget.tryRetry()) {
        refuse(request, SlotRefusal.Reason.NO_RETRY_BUDGET);
        return;
      }
    } else {
      retryBudget.requestStarted();
    }
    if (!endpoints.hasEligible(request)) {
      refuse(request, SlotRefusal.Reason.NO_ENDPOINT);
      return;
    }
    double holdMillis = latency.idleTotalMillis(request.estimate());
    checkOverdue(now);
    turnover.arrived(holdMillis, now);
    ranks.add(request.rank(), holdMillis);
    if (averageWork.learn(request.estimate())) {
      endpoints.setAverageWork(averageWork.value());
    }
    waiting.add(waitingRequest(request, holdMillis, now));
    grantFreeSlots(now);
    if (waiting.contains(request.id())) {
      refuseLast(now);
    }
  }

  private WaitingRequest waitingRequest(SlotRequest request, double holdMillis, long now) {
    double firstEventMillis = latency.idleFirstEventMillis(request.estimate());
    long latestOnTimeStart =
        request.objectiveDeadline() - (long) (firstEventMillis * NANOS_PER_MILLI);
    double density = request.value() * ranks.meanHoldMillis(request.rank()) / holdMillis;
    double bounded = Math.max(1 / MAX_DENSITY_RATIO, Math.min(MAX_DENSITY_RATIO, density));
    double burstShare = ranks.fractionNotAbove(request.rank());
    long charged = shares.charge(request.customer(), holdMillis, forecast.slots(), burstShare, now);
    WaitingRequest arrived =
        new WaitingRequest(
            request, latestOnTimeStart, holdMillis, bounded, latestOnTimeStart < now, charged);
    arrived.isWithoutPath = paths.isLost(request.requester());
    return arrived;
  }

  /** Removes a waiting request; returns it, or null if it is not waiting. */
  @Nullable SlotRequest withdraw(long requestId) {
    return drop(requestId);
  }

  /** Removes a waiting request that gets no slot. */
  private @Nullable SlotRequest drop(long requestId) {
    WaitingRequest dropped = waiting.remove(requestId);
    if (dropped == null) {
      return null;
    }
    shares.refund(dropped.request.customer(), dropped.charged);
    return dropped.request;
  }

  boolean isWaiting(long requestId) {
    return waiting.contains(requestId);
  }

  /** Grants free slots to the waiting requests, in the order of {@link WaitingQueue}. */
  void grantFreeSlots(long now) {
    endpoints.endPauses(now);
    versions.applyFilter();
    while (!waiting.isEmpty() && endpoints.hasFreeSlot()) {
      SlotRequest best = null;
      EndpointLoad target = null;
      for (WaitingRequest candidate : waiting) {
        if (candidate.isWithoutPath && endpoints.hasNoneForLost()) {
          break;
        }
        boolean mustWait = held.runsAlike(candidate.request);
        target = mustWait ? null : endpoints.cheapest(candidate.request);
        if (target != null) {
          best = candidate.request;
          break;
        }
      }
      if (best == null || target == null) {
        return;
      }
      waiting.remove(best.id());
      grant(best, target, now);
    }
  }

  private void grant(SlotRequest request, EndpointLoad target, long now) {
    boolean isProbe = endpoints.isProbe(target, request.requester());
    endpoints.change(
        target,
        () -> {
          RunningRequest entry = target.grant(request, isProbe, now);
          turnover.granted(entry.totalMillis);
          overdueChecks.granted(target, entry);
        });
    endpoints.promptSent(target, request.estimate());
    versions.granted(target.endpoint());
    held.add(request, target);
    listener.granted(request, target.endpoint().id());
  }

  void firstEvent(EndpointLoad endpoint, long requestId, double observedMillis) {
    RunningRequest started = endpoint.running(requestId);
    if (started != null) {
      paths.worked(
          started.request.requester(),
          started.grantedAt + (long) (observedMillis * NANOS_PER_MILLI));
    }
    endpoints.change(endpoint, () -> endpoint.firstEvent(requestId, observedMillis));
  }

  void release(
      EndpointLoad endpoint, long requestId, Outcome outcome, double observedMillis, long now) {
    RunningRequest released = endpoint.running(requestId);
    String id = endpoint.endpoint().id();
    RequesterPath path = paths.ended(released, id, outcome, endpoints.size(), now);
    if (released != null && path != RequesterPath.LOST) {
      versions.ended(endpoint, released, outcome, observedMillis, now);
    }
    endpoints.change(
        endpoint, () -> endpoint.release(requestId, outcome, path, observedMillis, now));
    if (released != null) {
      held.remove(released.request);
      if (crashGuard.ended(released.request, endpoint.endpoint(), outcome, now)) {
        refuseQuarantined(now);
      }
    }
  }

  /** Forgets how the requests of a host that is gone ended. */
  void forget(String requester) {
    paths.forget(requester);
    endpoints.forget(requester);
  }

  /** Refuses the waiting requests whose prompt is quarantined. */
  void refuseQuarantined(long now) {
    refuseWaiting(request -> crashGuard.refusalOfWaiting(request, now));
  }

  /** Refuses the waiting isolated requests with a certain content. */
  void refuseIsolated(RequestFingerprint content, SlotRefusal refusal) {
    refuseWaiting(request -> content.equals(request.isolated()) ? refusal : null);
  }

  private void refuseWaiting(Function<SlotRequest, @Nullable SlotRefusal> refusalOf) {
    for (WaitingRequest each : waiting.snapshot()) {
      SlotRefusal refusal = refusalOf.apply(each.request);
      // The delivery of a refusal may submit a request and so grant one of the snapshot.
      if (refusal != null && drop(each.request.id()) != null) {
        listener.refused(each.request, refusal);
      }
    }
  }

  /**
   * Takes work from endpoints whose requests have not started after their expected time, long
   * before these requests end.
   */
  void checkOverdue(long now) {
    for (OverdueChecks.Check check = overdueChecks.pollDue(now);
        check != null;
        check = overdueChecks.pollDue(now)) {
      applyOverdue(check, now);
    }
  }

  private void applyOverdue(OverdueChecks.Check check, long now) {
    double elapsedMillis = (now - check.request().grantedAt) / NANOS_PER_MILLI;
    endpoints.change(
        check.endpoint(),
        () -> {
          if (check.endpoint().learnOverdue(check.request(), elapsedMillis)) {
            overdueChecks.repeat(check, now);
          }
        });
  }

  /** Refuses requests from the end of the queue as long as the last one can't start in time. */
  private void refuseLast(long now) {
    if (capacityShare < 1) {
      refuseOverdue(now);
      return;
    }
    while (!waiting.isEmpty()) {
      WaitingRequest last = waiting.last();
      int position = waiting.size() - 1;
      if (!last.isLate && forecast.isExpectedLate(last, position, now)) {
        waiting.markLate(last, ranks);
        continue;
      }
      if (forecast.canStart(last, position, now)) {
        return;
      }
      refuseOverloaded(last, now);
    }
  }

  /** Refuses the requests that are not expected to start before their start deadline. */
  void refuseUnservable(long now) {
    if (capacityShare < 1) {
      refuseOverdue(now);
      return;
    }
    int position = 0;
    for (WaitingRequest each : waiting.snapshot()) {
      boolean isNowLate = !each.isLate && forecast.isExpectedLate(each, position, now);
      if (isNowLate) {
        waiting.markLate(each, ranks);
      }
      if (!forecast.canStart(each, position, now)) {
        refuseOverloaded(each, now);
      } else if (!isNowLate) {
        position++;
      }
    }
  }

  /**
   * Refuses the requests whose start deadline has passed. Used while the group is incomplete, when
   * no host knows all grants and the times at which slots become free can't be estimated.
   */
  private void refuseOverdue(long now) {
    refuseWaiting(
        request ->
            now - request.startDeadline() > 0
                ? retryTimes.refusal(SlotRefusal.Reason.OVERLOADED)
                : null);
  }

  private void refuse(SlotRequest request, SlotRefusal.Reason reason) {
    listener.refused(request, retryTimes.refusal(reason));
  }

  private void refuseOverloaded(WaitingRequest refused, long now) {
    if (drop(refused.request.id()) != null) {
      double slots = forecast.positiveSlots();
      long returnAt = turnover.nextReturn(refused.holdMillis, waiting.size(), slots, now);
      turnover.limitReturns(now + (long) (RetryTimes.MAX_MILLIS * NANOS_PER_MILLI));
      SlotRefusal.Reason reason = refused.overloadReason();
      listener.refused(refused.request, retryTimes.refusal(reason, returnAt - now));
    }
  }

  /** Frees the slots that a requester was granted and that its report no longer lists. */
  void reconcile(String requester, Set<Long> reported, long grantedBefore, long now) {
    for (long id : held.requestsOf(requester)) {
      EndpointLoad endpoint = held.endpoint(id);
      RunningRequest entry = endpoint == null ? null : endpoint.running(id);
      if (endpoint != null
          && entry != null
          && entry.grantedAt < grantedBefore
          && !reported.contains(id)) {
        release(endpoint, id, Outcome.WITHDRAWN, 0, now);
      }
    }
    grantFreeSlots(now);
  }
}
