package io.samphiredyke.core.pool;

import io.samphiredyke.core.quarantine.RequestFingerprint;
import io.samphiredyke.core.rollout.RolloutEvidence;
import io.samphiredyke.core.rollout.VersionSplit;
import io.samphiredyke.core.serving.CustomerSpec;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.core.serving.ServiceSpec;
import io.samphiredyke.core.serving.ServingConfiguration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Scheduler of the slots of all endpoints: grants them to waiting requests and refuses requests.
 *
 * <p>A state machine without I/O and threads. Each host runs one, but within a group the scheduler
 * of one host decides for all, so that ranks and slots are compared across the group. Its state is
 * soft: requesters report the slots that they hold, and a new scheduler rebuilds its state from the
 * reports.
 */
public final class PoolScheduler {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Time without requests after which the next request counts as a takeover from another scheduler.
   * In an active group requests arrive every few milliseconds, so after a longer pause another
   * scheduler has probably received them.
   */
  private static final long TAKEOVER_IDLE_NANOS = 2_000 * NANOS_PER_MILLI;

  /**
   * Lower bound of the cap on the retry time of a request over its quota. The cap is half of the
   * time left to the latency objective, because a late response is worth little; a request that is
   * late already has none.
   */
  private static final long MIN_RETRY_CAP_MILLIS = 50;

  private final PoolOptions options;
  private final PoolListener listener;
  private final PoolListener poolListener;
  private final RandomGenerator random;
  private final Map<String, ServicePool> pools = new HashMap<>();
  private final Map<String, QuotaBucket> quotas = new HashMap<>();
  private final PartQuarantine quarantine = new PartQuarantine();
  private final CrashGuard.Factory crashGuards = new CrashGuard.Factory(quarantine);
  private final BrittleEndpoints brittle = new BrittleEndpoints();
  private @Nullable ServingConfiguration configuration;
  private double capacityShare = 1;
  private boolean hasReceivedRequest;
  private long lastRequestAt;

  /** Creates a scheduler without endpoints. */
  public PoolScheduler(PoolOptions options, PoolListener listener, RandomGenerator random) {
    this.options = options;
    this.listener = listener;
    this.random = random;
    this.poolListener =
        new PoolListener() {
          @Override
          public void granted(SlotRequest request, String endpointId) {
            listener.granted(request, endpointId);
          }

          @Override
          public void refused(SlotRequest request, SlotRefusal refusal) {
            refundQuota(request);
            listener.refused(request, refusal);
          }
        };
  }

  /** Applies a new configuration. */
  public void configure(ServingConfiguration updated, long now) {
    configuration = updated;
    updated.customers().forEach(customer -> quota(customer.name(), now));
    quotas.forEach(
        (name, quota) -> {
          CustomerSpec customer = updated.customer(name);
          if (customer != null) {
            quota.update(customer, now);
          }
        });
    pools.forEach((name, pool) -> configurePool(name, pool));
  }

  private void configurePool(String service, ServicePool pool) {
    ServingConfiguration current = configuration;
    if (current == null) {
      return;
    }
    pool.setCustomers(current.customers());
    ServiceSpec spec = current.service(service);
    if (spec != null) {
      pool.configure(spec);
    }
  }

  /** Adds or updates an endpoint that accepts requests. */
  public void put(EndpointRecord endpoint, long now) {
    ServicePool pool = pool(endpoint.service());
    pool.put(endpoint, now);
    pool.grantFreeSlots(now);
  }

  /** Removes an endpoint; its running requests are no longer counted. */
  public void remove(EndpointRecord endpoint) {
    pool(endpoint.service()).remove(endpoint.id());
  }

  /**
   * Sets the requests per second that an endpoint accepts from all hosts together.
   *
   * @param perSecond the limit, {@link EndpointLimits#NONE} for none
   */
  public void limit(String endpointId, double perSecond, long now) {
    stated(endpointId, load -> load.rateLimit().set(perSecond, now), now);
  }

  /**
   * Sets the requests a second that an endpoint can refuse for want of room before it fails.
   *
   * @param perSecond the number, {@link EndpointLimits#NONE} for an endpoint that is not brittle
   */
  public void tolerateRefusals(String endpointId, double perSecond, long now) {
    brittle.stated(endpointId, perSecond);
    stated(endpointId, load -> load.room().setTolerated(perSecond, now), now);
  }

  /** Records that an endpoint refused a request for want of room that another host granted. */
  public void refusedElsewhere(String endpointId, long requestId, long now) {
    stated(endpointId, load -> load.room().refusedElsewhere(requestId, now), now);
  }

  /** Returns whether an endpoint fails if it has to refuse too many requests for want of room. */
  public boolean isBrittle(String endpointId) {
    return brittle.contains(endpointId);
  }

  private void stated(String endpointId, Consumer<EndpointLoad> statement, long now) {
    ServicePool pool = poolOf(endpointId);
    if (pool != null) {
      pool.stated(endpointId, statement);
      pool.grantFreeSlots(now);
    }
  }

  /** Sets how a service's requests are split between software versions, null for no roll-out. */
  public void setSplit(String service, @Nullable VersionSplit split, long now) {
    ServicePool pool = pool(service);
    pool.versions().setSplit(split);
    pool.grantFreeSlots(now);
  }

  /** Returns what the answers show about the roll-out of a service, or null if there is none. */
  public @Nullable RolloutEvidence rolloutEvidence(String service, long now) {
    return pool(service).versions().evidence(now);
  }

  /** Returns the quarantined prompt parts, which other hosts may add to. */
  public PartQuarantine quarantine() {
    return quarantine;
  }

  /** Sets the listener for the prompt parts that this scheduler quarantines or releases. */
  public void setQuarantineListener(QuarantineListener quarantineListener) {
    crashGuards.setListener(quarantineListener);
  }

  /** Refuses the waiting requests with parts that another host has quarantined. */
  public void refuseQuarantined(long now) {
    pools.values().forEach(pool -> pool.refuseQuarantined(now));
  }

  /**
   * Refuses the waiting requests with a content that was found to crash endpoints.
   *
   * @param retryAfterMillis time after which they should come again
   */
  public void refuseIsolated(RequestFingerprint content, long retryAfterMillis) {
    SlotRefusal refusal = new SlotRefusal(SlotRefusal.Reason.REQUEST_QUARANTINED, retryAfterMillis);
    pools.values().forEach(pool -> pool.refuseIsolated(content, refusal));
  }

  /** Submits a request; the listener receives the decision, during this call or later. */
  public void submit(SlotRequest request, long now) {
    if (!hasReceivedRequest || now - lastRequestAt > TAKEOVER_IDLE_NANOS) {
      quotas.values().forEach(quota -> quota.limitAfterTakeover(now));
    }
    hasReceivedRequest = true;
    lastRequestAt = now;
    if (!request.isRetry() && !tryTakeQuota(request, now)) {
      return;
    }
    ServicePool pool = pool(request.service());
    for (String id : brittle.requested(request.service(), TAKEOVER_IDLE_NANOS, now)) {
      pool.stated(id, load -> load.room().takeOver(now));
    }
    pool.submit(request, now);
  }

  private boolean tryTakeQuota(SlotRequest request, long now) {
    QuotaBucket quota = quota(request.customer(), now);
    if (quota == null || quota.tryTake(request.quotaUnits(), now)) {
      return true;
    }
    long quotaRetryMillis = quota.retryAfterMillis(request.quotaUnits(), now);
    long leftMillis = (request.objectiveDeadline() - now) / NANOS_PER_MILLI;
    boolean isLate = leftMillis <= 0;
    long retryMillis =
        isLate
            ? quotaRetryMillis
            : Math.min(quotaRetryMillis, Math.max(MIN_RETRY_CAP_MILLIS, leftMillis / 2));
    listener.refused(request, new SlotRefusal(SlotRefusal.Reason.OVER_QUOTA, retryMillis));
    return false;
  }

  /** Deducts quota units that another scheduler granted. */
  public void recordRemoteUsage(String customer, long units, long now) {
    QuotaBucket quota = quota(customer, now);
    if (quota != null) {
      quota.charge(units, now);
    }
  }

  /**
   * Sets the fraction of each quota and of the slots that this scheduler may grant; 1 in a complete
   * group. During a partition a host grants only its share, because the others may be granting
   * theirs at the same time.
   */
  public void setCapacityShare(double updated, long now) {
    if (updated != capacityShare) {
      capacityShare = updated;
      quotas.values().forEach(quota -> quota.setCapacityShare(updated, now));
      for (ServicePool pool : pools.values()) {
        pool.setCapacityShare(updated);
        pool.grantFreeSlots(now);
      }
    }
  }

  /** Records a grant of another scheduler, as the requester reported it. */
  public void restoreGrant(String endpointId, SlotRequest request, long now) {
    pool(request.service()).restoreGrant(endpointId, request, now);
  }

  private void refundQuota(SlotRequest request) {
    QuotaBucket quota = quotas.get(request.customer());
    if (quota != null && !request.isRetry()) {
      quota.refund(request.quotaUnits());
    }
  }

  private @Nullable QuotaBucket quota(String name, long now) {
    ServingConfiguration current = configuration;
    CustomerSpec customer = current == null ? null : current.customer(name);
    if (customer == null) {
      return null;
    }
    return quotas.computeIfAbsent(name, key -> newQuota(customer, now));
  }

  private QuotaBucket newQuota(CustomerSpec customer, long now) {
    QuotaBucket quota =
        new QuotaBucket(customer, options.quotaTolerance(), options.quotaSlack(), now);
    quota.setCapacityShare(capacityShare, now);
    return quota;
  }

  /** Returns whether a request is waiting for a slot. */
  public boolean isWaiting(String service, long requestId) {
    return pool(service).isWaiting(requestId);
  }

  /** Returns whether any request is waiting for a slot. */
  public boolean hasWaiting() {
    for (ServicePool pool : pools.values()) {
      if (pool.waitingCount() > 0) {
        return true;
      }
    }
    return false;
  }

  /** Returns the id of the endpoint at which a request holds a slot, or null. */
  public @Nullable String endpointOf(String service, long requestId) {
    EndpointLoad endpoint = pool(service).holder(requestId);
    return endpoint == null ? null : endpoint.endpoint().id();
  }

  /** Removes a waiting request and refunds its quota units, because it did not run. */
  public void withdraw(String service, long requestId) {
    SlotRequest request = pool(service).withdraw(requestId);
    if (request != null) {
      refundQuota(request);
    }
  }

  /** Records the first event of a stream. */
  public void firstEvent(String service, String endpointId, long requestId, double observedMillis) {
    ServicePool pool = pool(service);
    EndpointLoad endpoint = pool.endpoint(endpointId);
    if (endpoint != null) {
      pool.firstEvent(endpoint, requestId, observedMillis);
    }
  }

  /**
   * Frees the slot of a request.
   *
   * @param service its service, empty if the requester no longer knows the request
   */
  public void release(
      String service,
      String endpointId,
      long requestId,
      Outcome outcome,
      double observedMillis,
      long now) {
    ServicePool pool = service.isEmpty() ? poolOf(endpointId) : pool(service);
    if (pool == null) {
      return;
    }
    EndpointLoad endpoint = pool.endpoint(endpointId);
    if (endpoint != null) {
      pool.release(endpoint, requestId, outcome, observedMillis, now);
    }
    pool.grantFreeSlots(now);
  }

  /** Frees the slots that a requester was granted and that its report no longer lists. */
  public void reconcile(String requester, Set<Long> held, long now) {
    long grantedBefore = now - options.reportGraceMillis() * NANOS_PER_MILLI;
    pools.values().forEach(pool -> pool.reconcile(requester, held, grantedBefore, now));
  }

  /** Frees the slots of a host that is gone, and forgets how its requests ended. */
  public void hostGone(String requester, long now) {
    reconcile(requester, Set.of(), now);
    pools.values().forEach(pool -> pool.forget(requester));
  }

  /**
   * Checks for overdue requests, grants slots of endpoints whose pause has ended, and refuses
   * requests that can't start in time.
   */
  public void tick(long now) {
    for (ServicePool pool : pools.values()) {
      pool.checkOverdue(now);
      pool.grantFreeSlots(now);
      pool.refuseUnservable(now);
    }
  }

  /** Returns how many requests are waiting for a slot of a service. */
  public int waitingCount(String service) {
    return pool(service).waitingCount();
  }

  private @Nullable ServicePool poolOf(String endpointId) {
    for (ServicePool pool : pools.values()) {
      if (pool.endpoint(endpointId) != null) {
        return pool;
      }
    }
    return null;
  }

  private ServicePool pool(String service) {
    ServicePool known = pools.get(service);
    if (known != null) {
      return known;
    }
    RetryBudget budget = new RetryBudget(options.retryRatio(), options.retryReserve());
    ServicePool pool = new ServicePool(poolListener, random, budget, crashGuards.create(service));
    pool.setCapacityShare(capacityShare);
    pools.put(service, pool);
    configurePool(service, pool);
    return pool;
  }
}
