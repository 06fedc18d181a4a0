package io.samphiredyke.core.broker;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/** The claims that wait at one broker, by tier. */
final class SlotRequestQueue {

  private final List<TierQueue> tiers;
  private final Map<SlotRequestKey, QueuedRequest> byKey = new HashMap<>();
  private final TreeSet<QueuedRequest> heldBack = new TreeSet<>(QueuedRequest.BY_ELIGIBILITY);
  private final TreeSet<QueuedRequest> deadlines = new TreeSet<>(QueuedRequest.BY_DEADLINE);
  private long nextSequence;

  SlotRequestQueue(int tierCount) {
    tiers = IntStream.range(0, tierCount).mapToObj(rank -> new TierQueue()).toList();
  }

  int size() {
    return byKey.size();
  }

  int tierCount() {
    return tiers.size();
  }

  TierQueue tier(int rank) {
    return tiers.get(Math.max(0, Math.min(rank, tiers.size() - 1)));
  }

  Collection<QueuedRequest> all() {
    return new ArrayList<>(deadlines);
  }

  /** Adds a claim; a claim with the same key is replaced. */
  void add(SlotRequest claim, long now) {
    remove(claim.key());
    QueuedRequest queued = new QueuedRequest(claim, nextSequence++);
    byKey.put(claim.key(), queued);
    deadlines.add(queued);
    tier(claim.tierRank()).add(queued);
    if (claim.grantNotBefore() > now) {
      heldBack.add(queued);
      return;
    }
    tier(claim.tierRank()).activate(queued);
  }

  @Nullable SlotRequest remove(SlotRequestKey key) {
    QueuedRequest queued = byKey.remove(key);
    if (queued == null) {
      return null;
    }
    heldBack.remove(queued);
    deadlines.remove(queued);
    tier(queued.claim.tierRank()).remove(queued);
    return queued.claim;
  }

  /** Makes the claims available whose time to be held back is over. */
  void activateEligible(long now) {
    while (!heldBack.isEmpty() && heldBack.first().claim.grantNotBefore() <= now) {
      QueuedRequest queued = heldBack.pollFirst();
      tier(queued.claim.tierRank()).activate(queued);
    }
  }

  /** Returns the claim to be granted next, null if none may be granted. */
  @Nullable SlotRequest peek() {
    for (TierQueue tier : tiers) {
      QueuedRequest queued = tier.peek();
      if (queued != null) {
        return queued.claim;
      }
    }
    return null;
  }

  /**
   * Returns the claim that may give its place to another: the latest of the lowest tier that is
   * below the given one, null if there is none.
   */
  @Nullable SlotRequest displaceableBy(int tierRank) {
    for (int rank = tiers.size() - 1; rank > tierRank; rank--) {
      QueuedRequest latest = tiers.get(rank).latest();
      if (latest != null) {
        return latest.claim;
      }
    }
    return null;
  }

  /** Returns the claim with the earliest deadline, null if the queue is empty. */
  @Nullable SlotRequest earliestDeadline() {
    return deadlines.isEmpty() ? null : deadlines.first().claim;
  }

  /** Returns when the next claim stops being held back, {@link Long#MAX_VALUE} if none is. */
  long nextEligibility() {
    return heldBack.isEmpty() ? Long.MAX_VALUE : heldBack.first().claim.grantNotBefore();
  }
}
