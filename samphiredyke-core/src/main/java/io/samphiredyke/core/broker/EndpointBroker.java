package io.samphiredyke.core.broker;

import io.samphiredyke.core.invariant.Invariant;
import io.samphiredyke.core.invariant.InvariantChecker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Scheduler of one endpoint: queues slot requests, grants or refuses them, and sheds load.
 *
 * <p>Requests are granted by tier, then by weighted fairness between customers, then by deadline. A
 * request is granted when the endpoint is below its concurrency limit and has a small prefill
 * backlog, so that requests queue here and not in the engine, which has no priorities. A granted
 * request is never cancelled in favour of another.
 *
 * <p>Not thread-safe. Each method returns the decisions that it caused, in order.
 */
public final class EndpointBroker {

  private static final double PREFILL_BACKLOG_SHARE = 0.5; // of the target for the first token
  private static final long RETRY_AFTER_MINIMUM_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long RETRY_AFTER_MAXIMUM_NANOS = TimeUnit.SECONDS.toNanos(30);
  private static final long RECHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final double SMOOTHING = 0.05; // of the ratio of granted requests
  private static final int ORPHAN_LIFETIME_FACTOR = 2; // times the expected duration
  private static final Invariant NO_LOWER_TIER_QUEUED =
      Invariant.counted("shed-while-lower-tier-queued");

  private final String endpoint;
  private final BrokerOptions options;
  private final InvariantChecker invariants;
  private final SlotRequestQueue queue;
  private final ConcurrencyLimit limit;
  private final PrefillTracker prefill;
  private final Map<SlotRequestKey, RunningRequest> running = new HashMap<>();
  private double grantRatio = 1;
  private boolean draining;
  private boolean hasStreamSamples;

  /**
   * Creates a broker without requests.
   *
   * @param endpoint name of the endpoint
   * @param options settings
   * @param invariants checks and reports the invariants
   */
  public EndpointBroker(String endpoint, BrokerOptions options, InvariantChecker invariants) {
    this.endpoint = endpoint;
    this.options = options;
    this.invariants = invariants;
    queue = new SlotRequestQueue(options.tiers());
    limit = new ConcurrencyLimit(options);
    prefill = new PrefillTracker(options.initialPrefillTokensPerSecond());
  }

  /** Restores the estimates of a previous broker from the last status that a requester received. */
  public void restoreEstimates(BrokerStatus previous) {
    limit.restoreEstimates(previous.limit(), previous.tokenIntervalNanos());
    prefill.restoreRate(previous.prefillTokensPerSecond());
  }

  /** Submits a request; repeating it repeats its grant or replaces it in the queue. */
  public List<BrokerDecision> submit(SlotRequest request, long now) {
    List<BrokerDecision> decisions = new ArrayList<>();
    if (running.containsKey(request.key())) {
      decisions.add(new Grant(request));
      return decisions;
    }
    if (draining) {
      decisions.add(refuse(request, RefusalReason.LEAVING));
      return decisions;
    }
    if (now + expectedNanos(request) > request.deadline()) {
      shed(request, RefusalReason.DEADLINE, decisions);
      return decisions;
    }
    if (queue.size() >= options.queueCapacity() && !displaceLowerTier(request, decisions)) {
      return decisions;
    }
    queue.add(request, now);
    grantFreeSlots(now, decisions);
    return decisions;
  }

  /** Withdraws a request; a granted one is released as unused. */
  public List<BrokerDecision> withdraw(SlotRequestKey key, long now) {
    if (running.containsKey(key)) {
      return release(Release.unused(key), now);
    }
    if (queue.remove(key) != null) {
      recordQueueExit(false);
    }
    return tick(now);
  }

  /** Records the first token of a granted request. */
  public List<BrokerDecision> firstToken(SlotRequestKey key, long firstTokenNanos, long now) {
    prefill.finished(key, firstTokenNanos, now);
    return tick(now);
  }

  /** Records what a requester observed on its open streams from the endpoint. */
  public List<BrokerDecision> observe(StreamSample sample, long now) {
    hasStreamSamples = true;
    limit.observe(sample, running.size(), now);
    return tick(now);
  }

  /** Frees the slot of a granted request; has no effect on an unknown one. */
  public List<BrokerDecision> release(Release release, long now) {
    RunningRequest ended = running.remove(release.key());
    if (ended == null) {
      return tick(now);
    }
    prefill.finished(release.key(), release.firstTokenNanos(), now);
    updateEstimates(release, ended, now);
    return tick(now);
  }

  /** Restores the grants of a previous broker that requesters still hold. */
  public List<BrokerDecision> restoreGrants(List<HeldGrant> held, long now) {
    for (HeldGrant grant : held) {
      SlotRequest request = grant.request();
      if (running.containsKey(request.key())) {
        continue;
      }
      queue.remove(request.key());
      running.put(request.key(), new RunningRequest(request, grant.grantedAt(), Long.MAX_VALUE));
      if (grant.prefilling()) {
        prefill.started(request.key(), request.uncachedTokens(), now);
      }
    }
    limit.raiseTo(running.size());
    return tick(now);
  }

  /**
   * Drops the queued requests of a requester that has failed.
   *
   * <p>Its granted requests may still run on the endpoint, so they keep their slots for a multiple
   * of their expected duration, and after that until the concurrency limit is reached.
   */
  public List<BrokerDecision> requesterLost(String requester, long now) {
    for (QueuedRequest queued : queue.all()) {
      if (queued.request.requester().equals(requester)) {
        queue.remove(queued.request.key());
      }
    }
    for (Map.Entry<SlotRequestKey, RunningRequest> grant : running.entrySet()) {
      SlotRequest request = grant.getValue().request;
      if (request.requester().equals(requester)) {
        long until = now + ORPHAN_LIFETIME_FACTOR * expectedNanos(request);
        grant.setValue(new RunningRequest(request, grant.getValue().grantedAt, until));
      }
    }
    return tick(now);
  }

  /**
   * Starts or ends draining; queued and new requests are refused, granted ones run to their end.
   */
  public List<BrokerDecision> setDraining(boolean value, long now) {
    draining = value;
    if (!draining) {
      return tick(now);
    }
    List<BrokerDecision> decisions = new ArrayList<>();
    for (QueuedRequest queued : queue.all()) {
      queue.remove(queued.request.key());
      decisions.add(refuse(queued.request, RefusalReason.LEAVING));
    }
    return decisions;
  }

  /** Makes the decisions that are due because time has passed. */
  public List<BrokerDecision> tick(long now) {
    List<BrokerDecision> decisions = new ArrayList<>();
    grantFreeSlots(now, decisions);
    return decisions;
  }

  /** Returns when {@link #tick} should be called next, {@link Long#MAX_VALUE} if it need not be. */
  public long nextTick(long now) {
    if (queue.size() == 0) {
      return Long.MAX_VALUE;
    }
    long next = Math.min(now + RECHECK_NANOS, queue.nextEligibility());
    return Math.max(now + 1, next);
  }

  /** Returns the current state. */
  public BrokerStatus status(long now) {
    List<Integer> queued = new ArrayList<>();
    List<Long> waits = new ArrayList<>();
    for (int rank = 0; rank < queue.tierCount(); rank++) {
      queued.add(queue.tier(rank).size());
      waits.add(waitNanos(rank, now));
    }
    return new BrokerStatus(
        endpoint,
        draining,
        running.size(),
        limit.value(),
        queued,
        waits,
        prefill.tokensPerSecond(),
        limit.tokenIntervalNanos());
  }

  private void grantFreeSlots(long now, List<BrokerDecision> decisions) {
    dropExpiredOrphans(now);
    queue.activateEligible(now);
    expire(now, decisions);
    while (hasCapacity(now)) {
      SlotRequest next = queue.peek();
      if (next == null) {
        return;
      }
      if (isLikelyLate(next, now)) {
        queue.remove(next.key());
        shed(next, RefusalReason.DEADLINE, decisions);
        continue;
      }
      grant(next, now, decisions);
    }
  }

  private boolean hasCapacity(long now) {
    if (running.size() >= limit.value()) {
      return false;
    }
    long allowed = (long) (options.firstTokenTargetNanos() * PREFILL_BACKLOG_SHARE);
    return prefill.backlogNanos(now) <= allowed;
  }

  /**
   * Returns whether the response is likely to miss its deadline while another request of the tier
   * is waiting. Its prefill would be wasted, and the other request can use the slot.
   */
  private boolean isLikelyLate(SlotRequest request, long now) {
    if (queue.tier(request.tierRank()).size() < 2) {
      return false;
    }
    long bound =
        prefill.prefillNanos(request.uncachedTokens())
            + request.outputTokensBound() * limit.tokenIntervalNanos();
    return now + bound > request.deadline();
  }

  private void grant(SlotRequest request, long now, List<BrokerDecision> decisions) {
    queue
        .tier(request.tierRank())
        .charge(request.customer(), weightedSlotNanos(request, request.outputTokens()));
    queue.remove(request.key());
    recordQueueExit(true);
    running.put(request.key(), new RunningRequest(request, now, Long.MAX_VALUE));
    prefill.started(request.key(), request.uncachedTokens(), now);
    decisions.add(new Grant(request));
  }

  private void expire(long now, List<BrokerDecision> decisions) {
    while (true) {
      SlotRequest request = queue.earliestDeadline();
      if (request == null || now + expectedNanos(request) <= request.deadline()) {
        return;
      }
      queue.remove(request.key());
      shed(request, RefusalReason.DEADLINE, decisions);
    }
  }

  private boolean displaceLowerTier(SlotRequest request, List<BrokerDecision> decisions) {
    SlotRequest displaced = queue.displaceableBy(request.tierRank());
    if (displaced == null) {
      shed(request, RefusalReason.QUEUE_FULL, decisions);
      return false;
    }
    queue.remove(displaced.key());
    shed(displaced, RefusalReason.DISPLACED, decisions);
    return true;
  }

  /** Refuses a request because of load. */
  private void shed(SlotRequest request, RefusalReason reason, List<BrokerDecision> decisions) {
    if (reason != RefusalReason.DEADLINE) {
      SlotRequest lower = queue.displaceableBy(request.tierRank());
      invariants.check(
          NO_LOWER_TIER_QUEUED,
          lower == null,
          () -> endpoint + " shed " + request + " while a lower tier was queued: " + lower);
    }
    decisions.add(refuse(request, reason));
  }

  private SlotRefusal refuse(SlotRequest request, RefusalReason reason) {
    if (!reason.isCausedByLoad()) {
      return new SlotRefusal(request, reason, 0);
    }
    long wait = queueWaitNanos(request.tierRank());
    long bounded = Math.max(RETRY_AFTER_MINIMUM_NANOS, Math.min(RETRY_AFTER_MAXIMUM_NANOS, wait));
    return new SlotRefusal(request, reason, bounded);
  }

  private void updateEstimates(Release release, RunningRequest ended, long now) {
    SlotRequest request = ended.request;
    switch (release.outcome()) {
      case COMPLETED -> {
        if (release.meanTokenIntervalNanos() > 0) {
          observeTokenInterval(release.meanTokenIntervalNanos(), now);
        } else {
          limit.completedWithoutTokens(running.size() + 1);
        }
      }
      case OVERLOADED -> limit.reduceOnOverload();
      default -> {}
    }
    double excess =
        weightedSlotNanos(request, release.outputTokens())
            - weightedSlotNanos(request, request.outputTokens());
    if (release.outcome() == Release.Outcome.UNUSED) {
      excess = -weightedSlotNanos(request, request.outputTokens());
    }
    queue.tier(request.tierRank()).charge(request.customer(), excess);
  }

  /** Records the mean token interval of a stream that ended, unless streams are sampled. */
  private void observeTokenInterval(long meanNanos, long now) {
    if (!hasStreamSamples) {
      limit.observe(new StreamSample(1, meanNanos, meanNanos), running.size() + 1, now);
    }
  }

  private void dropExpiredOrphans(long now) {
    if (running.size() < limit.value()) {
      return;
    }
    List<SlotRequestKey> orphans =
        running.entrySet().stream()
            .filter(grant -> grant.getValue().countedUntil <= now)
            .map(Map.Entry::getKey)
            .toList();
    for (SlotRequestKey orphan : orphans) {
      running.remove(orphan);
      prefill.finished(orphan, 0, now);
    }
  }

  private void recordQueueExit(boolean granted) {
    grantRatio += SMOOTHING * ((granted ? 1 : 0) - grantRatio);
  }

  /** Returns the expected slot time of a request, divided by the customer's weight. */
  private double weightedSlotNanos(SlotRequest request, int outputTokens) {
    double slot =
        prefill.prefillNanos(request.uncachedTokens())
            + (double) outputTokens * limit.tokenIntervalNanos();
    return (1 + slot) / request.customerWeight();
  }

  /** Returns the expected time from dispatch to the last token. */
  private long expectedNanos(SlotRequest request) {
    return prefill.prefillNanos(request.uncachedTokens())
        + request.outputTokens() * limit.tokenIntervalNanos();
  }

  private long waitNanos(int tierRank, long now) {
    if (queue.size() == 0 && hasCapacity(now)) {
      return 0;
    }
    return queueWaitNanos(tierRank) + prefill.backlogNanos(now);
  }

  /**
   * Returns the expected time until all requests of this tier and higher ones have left the queue.
   */
  private long queueWaitNanos(int tierRank) {
    long uncached = 0;
    long output = 0;
    for (int rank = 0; rank <= Math.min(tierRank, queue.tierCount() - 1); rank++) {
      uncached += queue.tier(rank).uncachedTokens();
      output += queue.tier(rank).outputTokens();
    }
    double prefillNanos = prefill.prefillNanos(uncached);
    double slotNanos = prefillNanos + (double) output * limit.tokenIntervalNanos();
    return (long) (grantRatio * Math.max(prefillNanos, slotNanos / limit.value()));
  }

  /** Returns the granted request with the given key, or null. */
  public @Nullable SlotRequest grantedRequest(SlotRequestKey key) {
    RunningRequest grant = running.get(key);
    return grant == null ? null : grant.request;
  }

  private record RunningRequest(SlotRequest request, long grantedAt, long countedUntil) {}
}
