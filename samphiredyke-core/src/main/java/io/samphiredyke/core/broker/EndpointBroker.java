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
 * Decides which claims may run on one endpoint and when.
 *
 * <p>Claims wait in order of tier, then fairness between customers, then deadline. A claim is
 * granted when the endpoint is under its concurrency limit and has little prefill before it, so
 * that the queue stays here and not in the engine, which knows no priorities. What was granted is
 * never cancelled to make room.
 *
 * <p>Not safe for use by several threads. Each method returns the decisions that it caused, in
 * order.
 */
public final class EndpointBroker {

  private static final double PREFILL_BACKLOG_SHARE = 0.5;
  private static final long RETRY_AFTER_MINIMUM_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long RETRY_AFTER_MAXIMUM_NANOS = TimeUnit.SECONDS.toNanos(30);
  private static final long RECHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final double SMOOTHING = 0.05;
  private static final int ORPHAN_LIFETIME_FACTOR = 2;
  private static final Invariant NO_LOWER_TIER_QUEUED =
      Invariant.counted("shed-while-lower-tier-queued");

  private final String endpoint;
  private final BrokerOptions options;
  private final InvariantChecker invariants;
  private final SlotRequestQueue queue;
  private final ConcurrencyLimit limit;
  private final PrefillTracker prefill;
  private final Map<SlotRequestKey, Running> running = new HashMap<>();
  private double grantedShare = 1;
  private boolean leaving;
  private boolean sampled;

  /**
   * Creates a broker without claims.
   *
   * @param endpoint name of the endpoint
   * @param options settings
   * @param invariants where broken invariants are reported
   */
  public EndpointBroker(String endpoint, BrokerOptions options, InvariantChecker invariants) {
    this.endpoint = endpoint;
    this.options = options;
    this.invariants = invariants;
    queue = new SlotRequestQueue(options.tiers());
    limit = new ConcurrencyLimit(options);
    prefill = new PrefillTracker(options.initialPrefillTokensPerSecond());
  }

  /** Takes over what a former broker had learned, as an entry remembers it from its last hint. */
  public void restoreEstimates(BrokerStatus former) {
    limit.restore(former.limit(), former.tokenIntervalNanos());
    prefill.restore(former.prefillTokensPerSecond());
  }

  /** Queues a claim; a repeated claim changes nothing. */
  public List<BrokerDecision> submit(SlotRequest claim, long now) {
    List<BrokerDecision> decisions = new ArrayList<>();
    if (running.containsKey(claim.key())) {
      decisions.add(new Grant(claim));
      return decisions;
    }
    if (leaving) {
      decisions.add(refuse(claim, RefusalReason.LEAVING));
      return decisions;
    }
    if (now + expectedNanos(claim) > claim.deadline()) {
      shed(claim, RefusalReason.DEADLINE, decisions);
      return decisions;
    }
    if (queue.size() >= options.queueCapacity() && !makeRoom(claim, decisions)) {
      return decisions;
    }
    queue.add(claim, now);
    decide(now, decisions);
    return decisions;
  }

  /** Removes a claim that its entry no longer wants; a granted claim is released as unused. */
  public List<BrokerDecision> withdraw(SlotRequestKey key, long now) {
    if (running.containsKey(key)) {
      return release(Release.unused(key), now);
    }
    if (queue.remove(key) != null) {
      leftQueue(false);
    }
    return tick(now);
  }

  /** Notes the first token of a granted claim. */
  public List<BrokerDecision> firstToken(SlotRequestKey key, long firstTokenNanos, long now) {
    prefill.finished(key, firstTokenNanos, now);
    return tick(now);
  }

  /** Notes what an entry observed on its open streams from the endpoint. */
  public List<BrokerDecision> observe(StreamSample sample, long now) {
    sampled = true;
    limit.observe(sample, running.size(), now);
    return tick(now);
  }

  /** Ends a granted claim; an unknown one changes nothing. */
  public List<BrokerDecision> release(Release release, long now) {
    Running ended = running.remove(release.key());
    if (ended == null) {
      return tick(now);
    }
    prefill.finished(release.key(), release.firstTokenNanos(), now);
    learn(release, ended, now);
    return tick(now);
  }

  /** Counts grants of a former broker that entries still hold. */
  public List<BrokerDecision> restoreGrants(List<HeldGrant> held, long now) {
    for (HeldGrant grant : held) {
      SlotRequest claim = grant.request();
      if (running.containsKey(claim.key())) {
        continue;
      }
      queue.remove(claim.key());
      running.put(claim.key(), new Running(claim, grant.grantedAt(), Long.MAX_VALUE));
      if (grant.prefilling()) {
        prefill.started(claim.key(), claim.uncachedTokens(), now);
      }
    }
    limit.raiseTo(running.size());
    return tick(now);
  }

  /**
   * Drops the queued claims of an entry that is gone.
   *
   * <p>Its granted claims may still run on the endpoint, so they stay counted for the time that
   * they are expected to need.
   */
  public List<BrokerDecision> requesterLost(String entry, long now) {
    for (QueuedRequest queued : queue.all()) {
      if (queued.claim.requester().equals(entry)) {
        queue.remove(queued.claim.key());
      }
    }
    for (Map.Entry<SlotRequestKey, Running> grant : running.entrySet()) {
      SlotRequest claim = grant.getValue().claim;
      if (claim.requester().equals(entry)) {
        long until = now + ORPHAN_LIFETIME_FACTOR * expectedNanos(claim);
        grant.setValue(new Running(claim, grant.getValue().grantedAt, until));
      }
    }
    return tick(now);
  }

  /** Starts or ends the refusal of new work; queued claims are refused, granted ones run on. */
  public List<BrokerDecision> setDraining(boolean value, long now) {
    leaving = value;
    if (!leaving) {
      return tick(now);
    }
    List<BrokerDecision> decisions = new ArrayList<>();
    for (QueuedRequest queued : queue.all()) {
      queue.remove(queued.claim.key());
      decisions.add(refuse(queued.claim, RefusalReason.LEAVING));
    }
    return decisions;
  }

  /** Decides what the passing of time makes due. */
  public List<BrokerDecision> tick(long now) {
    List<BrokerDecision> decisions = new ArrayList<>();
    decide(now, decisions);
    return decisions;
  }

  /** Returns when {@link #tick} should be called next, {@link Long#MAX_VALUE} if need not be. */
  public long nextTick(long now) {
    if (queue.size() == 0) {
      return Long.MAX_VALUE;
    }
    long next = Math.min(now + RECHECK_NANOS, queue.nextEligibility());
    return Math.max(now + 1, next);
  }

  /** Returns the state at this moment. */
  public BrokerStatus status(long now) {
    List<Integer> queued = new ArrayList<>();
    List<Long> waits = new ArrayList<>();
    for (int rank = 0; rank < queue.tierCount(); rank++) {
      queued.add(queue.tier(rank).size());
      waits.add(waitNanos(rank, now));
    }
    return new BrokerStatus(
        endpoint,
        leaving,
        running.size(),
        limit.value(),
        queued,
        waits,
        prefill.tokensPerSecond(),
        limit.tokenIntervalNanos());
  }

  private void decide(long now, List<BrokerDecision> decisions) {
    forgetOrphans(now);
    queue.activateEligible(now);
    expire(now, decisions);
    while (hasRoom(now)) {
      SlotRequest next = queue.peek();
      if (next == null) {
        return;
      }
      if (isRisky(next, now)) {
        queue.remove(next.key());
        shed(next, RefusalReason.DEADLINE, decisions);
        continue;
      }
      grant(next, now, decisions);
    }
  }

  private boolean hasRoom(long now) {
    if (running.size() >= limit.value()) {
      return false;
    }
    long allowed = (long) (options.firstTokenTargetNanos() * PREFILL_BACKLOG_SHARE);
    return prefill.backlogNanos(now) <= allowed;
  }

  /**
   * Returns whether the answer may well be late while another claim of the tier could use the place
   * better: its prefill would be wasted.
   */
  private boolean isRisky(SlotRequest claim, long now) {
    if (queue.tier(claim.tierRank()).size() < 2) {
      return false;
    }
    long bound =
        prefill.prefillNanos(claim.uncachedTokens())
            + claim.outputTokensBound() * limit.tokenIntervalNanos();
    return now + bound > claim.deadline();
  }

  private void grant(SlotRequest claim, long now, List<BrokerDecision> decisions) {
    queue.tier(claim.tierRank()).charge(claim.customer(), work(claim, claim.outputTokens()));
    queue.remove(claim.key());
    leftQueue(true);
    running.put(claim.key(), new Running(claim, now, Long.MAX_VALUE));
    prefill.started(claim.key(), claim.uncachedTokens(), now);
    decisions.add(new Grant(claim));
  }

  private void expire(long now, List<BrokerDecision> decisions) {
    while (true) {
      SlotRequest claim = queue.earliestDeadline();
      if (claim == null || now + expectedNanos(claim) <= claim.deadline()) {
        return;
      }
      queue.remove(claim.key());
      shed(claim, RefusalReason.DEADLINE, decisions);
    }
  }

  private boolean makeRoom(SlotRequest claim, List<BrokerDecision> decisions) {
    SlotRequest displaced = queue.displaceableBy(claim.tierRank());
    if (displaced == null) {
      shed(claim, RefusalReason.QUEUE_FULL, decisions);
      return false;
    }
    queue.remove(displaced.key());
    shed(displaced, RefusalReason.DISPLACED, decisions);
    return true;
  }

  /** Refuses a claim for pressure. */
  private void shed(SlotRequest claim, RefusalReason reason, List<BrokerDecision> decisions) {
    if (reason != RefusalReason.DEADLINE) {
      SlotRequest lower = queue.displaceableBy(claim.tierRank());
      invariants.check(
          NO_LOWER_TIER_QUEUED,
          lower == null,
          () -> endpoint + " shed " + claim + " while it queued " + lower);
    }
    decisions.add(refuse(claim, reason));
  }

  private SlotRefusal refuse(SlotRequest claim, RefusalReason reason) {
    if (!reason.isCausedByLoad()) {
      return new SlotRefusal(claim, reason, 0);
    }
    long wait = queueWaitNanos(claim.tierRank());
    long bounded = Math.max(RETRY_AFTER_MINIMUM_NANOS, Math.min(RETRY_AFTER_MAXIMUM_NANOS, wait));
    return new SlotRefusal(claim, reason, bounded);
  }

  private void learn(Release release, Running ended, long now) {
    SlotRequest claim = ended.claim;
    switch (release.outcome()) {
      case COMPLETED -> {
        if (release.meanTokenIntervalNanos() > 0) {
          noteInterval(release.meanTokenIntervalNanos(), now);
        } else {
          limit.completedWithoutTokens(running.size() + 1);
        }
      }
      case OVERLOADED -> limit.overloaded();
      default -> {}
    }
    double excess = work(claim, release.outputTokens()) - work(claim, claim.outputTokens());
    if (release.outcome() == Release.Outcome.UNUSED) {
      excess = -work(claim, claim.outputTokens());
    }
    queue.tier(claim.tierRank()).charge(claim.customer(), excess);
  }

  /** Notes a stream's mean, which is all that is known of streams that end between samples. */
  private void noteInterval(long meanNanos, long now) {
    if (!sampled) {
      limit.observe(new StreamSample(1, meanNanos, meanNanos), running.size() + 1, now);
    }
  }

  private void forgetOrphans(long now) {
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

  private void leftQueue(boolean granted) {
    grantedShare += SMOOTHING * ((granted ? 1 : 0) - grantedShare);
  }

  /** Returns the work of a claim in slot nanoseconds divided by the customer's weight. */
  private double work(SlotRequest claim, int outputTokens) {
    double slot =
        prefill.prefillNanos(claim.uncachedTokens())
            + (double) outputTokens * limit.tokenIntervalNanos();
    return (1 + slot) / claim.customerWeight();
  }

  /** Returns the time from dispatch to the last token. */
  private long expectedNanos(SlotRequest claim) {
    return prefill.prefillNanos(claim.uncachedTokens())
        + claim.outputTokens() * limit.tokenIntervalNanos();
  }

  private long waitNanos(int tierRank, long now) {
    if (queue.size() == 0 && hasRoom(now)) {
      return 0;
    }
    return queueWaitNanos(tierRank) + prefill.backlogNanos(now);
  }

  /** Returns the time until the claims of the given and the higher tiers have left the queue. */
  private long queueWaitNanos(int tierRank) {
    long uncached = 0;
    long output = 0;
    for (int rank = 0; rank <= Math.min(tierRank, queue.tierCount() - 1); rank++) {
      uncached += queue.tier(rank).uncachedTokens();
      output += queue.tier(rank).outputTokens();
    }
    double prefillNanos = prefill.prefillNanos(uncached);
    double slotNanos = prefillNanos + (double) output * limit.tokenIntervalNanos();
    return (long) (grantedShare * Math.max(prefillNanos, slotNanos / limit.value()));
  }

  /** Returns the granted claim with the given key, null if there is none. */
  public @Nullable SlotRequest grantedRequest(SlotRequestKey key) {
    Running grant = running.get(key);
    return grant == null ? null : grant.claim;
  }

  private record Running(SlotRequest claim, long grantedAt, long countedUntil) {}
}
