package io.samphiredyke.core.broker;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/** Queue of the waiting requests of one broker: strict priority by tier, fair within a tier. */
final class SlotRequestQueue {

  private final List<TierQueue> tiers;
  private final Map<SlotRequestKey, QueuedRequest> byKey = new HashMap<>();
  private final TreeSet<QueuedRequest> heldBack = new TreeSet<>(QueuedRequest.BY_ELIGIBILITY);
  private final TreeSet<QueuedRequest> byDeadline = new TreeSet<>(QueuedRequest.BY_DEADLINE);
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
    return new ArrayList<>(byDeadline);
  }

  /** Adds a request; a request with the same key is replaced. */
  void add(SlotRequest request, long now) {
    remove(request.key());
    QueuedRequest queued = new QueuedRequest(request, nextSequence++);
    byKey.put(request.key(), queued);
    byDeadline.add(queued);
    tier(request.tierRank()).add(queued);
    if (request.grantNotBefore() > now) {
      heldBack.add(queued);
      return;
    }
    tier(request.tierRank()).activate(queued);
  }

  @Nullable SlotRequest remove(SlotRequestKey key) {
    QueuedRequest queued = byKey.remove(key);
    if (queued == null) {
      return null;
    }
    heldBack.remove(queued);
    byDeadline.remove(queued);
    tier(queued.request.tierRank()).remove(queued);
    return queued.request;
  }

  /** Makes the requests available whose hold-off has ended. */
  void activateEligible(long now) {
    while (!heldBack.isEmpty() && heldBack.first().request.grantNotBefore() <= now) {
      QueuedRequest queued = heldBack.pollFirst();
      tier(queued.request.tierRank()).activate(queued);
    }
  }

  /** Returns the request to be granted next, or null if none may be granted. */
  @Nullable SlotRequest peek() {
    for (TierQueue tier : tiers) {
      QueuedRequest queued = tier.peek();
      if (queued != null) {
        return queued.request;
      }
    }
    return null;
  }

  /**
   * Returns the request that a request of the given tier may displace from a full queue: the latest
   * of the lowest non-empty tier below it, or null if there is none.
   */
  @Nullable SlotRequest displaceableBy(int tierRank) {
    for (int rank = tiers.size() - 1; rank > tierRank; rank--) {
      QueuedRequest latest = tiers.get(rank).latest();
      if (latest != null) {
        return latest.request;
      }
    }
    return null;
  }

  /** Returns the request with the earliest deadline, or null if the queue is empty. */
  @Nullable SlotRequest earliestDeadline() {
    return byDeadline.isEmpty() ? null : byDeadline.first().request;
  }

  /** Returns when the next hold-off ends, {@link Long#MAX_VALUE} if no request is held back. */
  long nextEligibility() {
    return heldBack.isEmpty() ? Long.MAX_VALUE : heldBack.first().request.grantNotBefore();
  }
}
