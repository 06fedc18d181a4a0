package io.samphiredyke.core.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Requests that wait for a slot, in the order in which they get one: by rank, then by value per
 * expected time, then by objective deadline.
 *
 * <p>Load pattern: more work than slots, over seconds. A request that can no longer meet its
 * objective earns its caller less, so it goes behind those of its rank and of the next one that
 * still can, and behind those of lower ranks of which several could be served in its time. Requests
 * of hosts that reach no endpoint go last, as a slot would be of no use to them.
 */
final class WaitingQueue implements Iterable<WaitingRequest> {

  /** How many ranks a request falls when it becomes late; it goes behind the last of them. */
  private static final double LATE_RANKS = 1.5;

  /**
   * How many requests of a lower rank must fit into the time of a late one to go before it. Ranks
   * state that one request matters more than another one, so the lower rank needs to gain several.
   */
  private static final double LATE_EXCHANGE_RATIO = 4;

  private static final Comparator<WaitingRequest> ORDER =
      Comparator.<WaitingRequest, Boolean>comparing(waiting -> waiting.isWithoutPath)
          .thenComparingDouble(waiting -> waiting.effectiveRank)
          .thenComparing(Comparator.<WaitingRequest>comparingDouble(w -> w.density).reversed())
          .thenComparingLong(waiting -> waiting.request.objectiveDeadline())
          .thenComparingLong(waiting -> waiting.request.id());

  private final TreeSet<WaitingRequest> ordered = new TreeSet<>(ORDER);
  private final Map<Long, WaitingRequest> byId = new HashMap<>();

  int size() {
    return ordered.size();
  }

  boolean isEmpty() {
    return ordered.isEmpty();
  }

  boolean contains(long requestId) {
    return byId.containsKey(requestId);
  }

  void add(WaitingRequest waiting) {
    if (byId.putIfAbsent(waiting.request.id(), waiting) == null) {
      ordered.add(waiting);
    }
  }

  /** Removes a request; returns it, or null if it is not waiting. */
  @Nullable WaitingRequest remove(long requestId) {
    WaitingRequest waiting = byId.remove(requestId);
    if (waiting == null) {
      return null;
    }
    ordered.remove(waiting);
    return waiting;
  }

  WaitingRequest last() {
    return ordered.last();
  }

  /**
   * Moves a request that can't meet its objective any more behind requests that can. One that does
   * not wait any more is left alone.
   */
  void markLate(WaitingRequest waiting, RankStatistics ranks) {
    if (!ordered.remove(waiting)) {
      return;
    }
    waiting.isLate = true;
    waiting.effectiveRank = waiting.shareRank() + LATE_RANKS;
    for (int rank : ranks.lowerThan(waiting.request.rank())) {
      if (waiting.holdMillis > LATE_EXCHANGE_RATIO * ranks.meanHoldMillis(rank)) {
        waiting.effectiveRank = Math.max(waiting.effectiveRank, rank + LATE_RANKS - 1);
      }
    }
    ordered.add(waiting);
  }

  /** Moves the requests of a requester that reaches no endpoint behind all others, or back. */
  void setWithoutPath(String requester, boolean isWithoutPath) {
    for (WaitingRequest waiting : snapshot()) {
      if (waiting.request.requester().equals(requester)) {
        ordered.remove(waiting);
        waiting.isWithoutPath = isWithoutPath;
        ordered.add(waiting);
      }
    }
  }

  /** Returns the requests in order, unaffected by changes of the queue. */
  List<WaitingRequest> snapshot() {
    return new ArrayList<>(ordered);
  }

  @Override
  public Iterator<WaitingRequest> iterator() {
    return ordered.iterator();
  }
}
