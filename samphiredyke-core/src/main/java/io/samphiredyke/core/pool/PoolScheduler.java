package io.samphiredyke.core.pool;

import io.samphiredyke.core.serving.CustomerSpec;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.core.serving.ServiceSpec;
import io.samphiredyke.core.serving.ServingConfiguration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Decides which waiting request gets which place at which endpoint, and which one is turned away.
 *
 * <p>A state machine without I/O and threads. Each host runs one; in a group one host's schedules
 * for all, so that importance and places are seen as a whole. Its state is soft: owners report what
 * they hold, and a scheduler that starts anew learns it from them.
 */
public final class PoolScheduler {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Time without any claim after which this scheduler counts as one that takes over: another one
   * was asked meanwhile. In a group in use claims come every few milliseconds.
   */
  private static final long TAKE_OVER_NANOS = 2_000 * NANOS_PER_MILLI;

  /**
   * Shortest time after which a caller over its quota is asked to return when it is late already;
   * later than half of the time to its objective no caller is, as a late answer is worth little.
   */
  private static final long MIN_RETRY_MILLIS = 50;

  private final PoolOptions options;
  private final PoolListener listener;
  private final PoolListener poolListener;
  private final RandomGenerator random;
  private final Map<String, ServicePool> pools = new HashMap<>();
  private final Map<String, QuotaBucket> quotas = new HashMap<>();
  private @Nullable ServingConfiguration configuration;
  private double setCapacityShare = 1;
  private boolean isInUse;
  private long lastClaimAt;

  /** Creates a scheduler that knows no endpoint. */
  public PoolScheduler(PoolOptions options, PoolListener listener, RandomGenerator random) {
    this.options = options;
    this.listener = listener;
    this.random = random;
    this.poolListener =
        new PoolListener() {
          @Override
          public void granted(SlotRequest claim, String endpointId) {
            listener.granted(claim, endpointId);
          }

          @Override
          public void refused(SlotRequest claim, SlotRefusal refusal) {
            giveBack(claim);
            listener.refused(claim, refusal);
          }
        };
  }

  /** Takes the configuration in force. */
  public void configure(ServingConfiguration newer, long now) {
    configuration = newer;
    newer.customers().forEach(customer -> quota(customer.name(), now));
    quotas.forEach(
        (name, quota) -> {
          CustomerSpec customer = newer.customer(name);
          if (customer != null) {
            quota.update(customer, now);
          }
        });
    pools.forEach((name, pool) -> configurePool(name, pool));
  }

  private void configurePool(String service, ServicePool pool) {
    ServingConfiguration current = configuration;
    ServiceSpec spec = current == null ? null : current.service(service);
    if (spec != null) {
      pool.configure(spec);
    }
  }

  /** Takes an endpoint that may get requests. */
  public void put(EndpointRecord endpoint, long now) {
    ServicePool pool = pool(endpoint.service());
    pool.put(endpoint);
    pool.dispatch(now);
  }

  /** Drops an endpoint; what runs there is no longer counted. */
  public void remove(EndpointRecord endpoint) {
    pool(endpoint.service()).remove(endpoint.id());
  }

  /** Takes a claim; the listener learns the decision, now or later. */
  public void submit(SlotRequest claim, long now) {
    if (!isInUse || now - lastClaimAt > TAKE_OVER_NANOS) {
      quotas.values().forEach(quota -> quota.takeOver(now));
    }
    isInUse = true;
    lastClaimAt = now;
    if (!claim.isRetry() && !takeQuota(claim, now)) {
      return;
    }
    pool(claim.service()).claim(claim, now);
  }

  private boolean takeQuota(SlotRequest claim, long now) {
    QuotaBucket quota = quota(claim.customer(), now);
    if (quota == null || quota.take(claim.quotaUnits(), now)) {
      return true;
    }
    long turnMillis = quota.millisUntilTurn(claim.quotaUnits(), now);
    long onTimeMillis =
        Math.max(MIN_RETRY_MILLIS, (claim.objectiveDeadline() - now) / NANOS_PER_MILLI / 2);
    long retryMillis = Math.min(turnMillis, onTimeMillis);
    listener.refused(claim, new SlotRefusal(SlotRefusal.Reason.OVER_QUOTA, retryMillis));
    return false;
  }

  /** Notes units that another scheduler granted. */
  public void recordRemoteUsage(String customer, long units, long now) {
    QuotaBucket quota = quota(customer, now);
    if (quota != null) {
      quota.use(units, now);
    }
  }

  /**
   * Sets the part of each quota and of the places that is given away here, 1 in a group that is
   * whole. A host that reaches few of the others gives away its part only, as others may do the
   * same at the same time.
   */
  public void setCapacityShare(double newer, long now) {
    if (newer != setCapacityShare) {
      setCapacityShare = newer;
      quotas.values().forEach(quota -> quota.share(newer, now));
      for (ServicePool pool : pools.values()) {
        pool.share(newer);
        pool.dispatch(now);
      }
    }
  }

  /** Counts a place that another scheduler granted to an owner, as far as the owner tells. */
  public void restoreGrant(String endpointId, SlotRequest claim, long now) {
    pool(claim.service()).adopt(endpointId, claim, now);
  }

  private void giveBack(SlotRequest claim) {
    QuotaBucket quota = quotas.get(claim.customer());
    if (quota != null && !claim.isRetry()) {
      quota.giveBack(claim.quotaUnits());
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
    quota.share(setCapacityShare, now);
    return quota;
  }

  /** Returns whether a claim waits here. */
  public boolean isWaiting(String service, long claimId) {
    return pool(service).isWaiting(claimId);
  }

  /** Returns whether any claim waits here. */
  public boolean hasWaiting() {
    for (ServicePool pool : pools.values()) {
      if (pool.waitingCount() > 0) {
        return true;
      }
    }
    return false;
  }

  /** Returns the endpoint at which a claim holds a place, or null. */
  public @Nullable String endpointOf(String service, long claimId) {
    for (EndpointLoad endpoint : pool(service).endpoints()) {
      if (endpoint.holds(claimId)) {
        return endpoint.endpoint().id();
      }
    }
    return null;
  }

  /** Forgets a claim that waits; its quota is given back, as it did not run. */
  public void withdraw(String service, long claimId) {
    SlotRequest claim = pool(service).withdraw(claimId);
    if (claim != null) {
      giveBack(claim);
    }
  }

  /** Notes the first event of a stream. */
  public void firstEvent(String service, String endpointId, long claimId, double observedMillis) {
    EndpointLoad endpoint = pool(service).endpoint(endpointId);
    if (endpoint != null) {
      endpoint.started(claimId, observedMillis);
    }
  }

  /**
   * Frees the place of a claim.
   *
   * @param service its service, empty if the owner does not know the claim any more
   */
  public void release(
      String service,
      String endpointId,
      long claimId,
      Outcome outcome,
      double observedMillis,
      long now) {
    ServicePool pool = service.isEmpty() ? poolOf(endpointId) : pool(service);
    if (pool == null) {
      return;
    }
    EndpointLoad endpoint = pool.endpoint(endpointId);
    if (endpoint != null) {
      endpoint.release(claimId, outcome, observedMillis, now);
    }
    pool.dispatch(now);
  }

  /** Compares what an owner holds with what it was granted. */
  public void reconcile(String owner, Set<Long> held, long now) {
    long grantedBefore = now - options.reportGraceMillis() * NANOS_PER_MILLI;
    pools.values().forEach(pool -> pool.reconcile(owner, held, grantedBefore, now));
  }

  /** Takes the steps that are due: places after a pause, refusals of what waits in vain. */
  public void tick(long now) {
    for (ServicePool pool : pools.values()) {
      pool.dispatch(now);
      pool.refuseHopeless(now);
    }
  }

  /** Returns how many claims wait for a service. */
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
    ServicePool pool = new ServicePool(poolListener, random, budget);
    pool.share(setCapacityShare);
    pools.put(service, pool);
    configurePool(service, pool);
    return pool;
  }
}
