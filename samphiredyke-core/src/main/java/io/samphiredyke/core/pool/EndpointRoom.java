package io.samphiredyke.core.pool;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * How many requests an endpoint takes beside those that it runs, learned from those that it refuses
 * for want of room.
 *
 * <p>Load pattern: a brittle endpoint fails if it has to refuse more than a stated number of
 * requests a second, while its room shrinks without notice. Each request that it has neither
 * refused nor accepted yet may be refused. As long as an endpoint is brittle, these and the
 * refusals of the last second together stay within the stated number.
 *
 * <p>The number holds for all schedulers together. Refusals are stated to all that may decide, and
 * a new one first waits for what the one before it granted.
 */
final class EndpointRoom {

  /** Number of refusals of an endpoint that is not brittle. */
  static final double ANY = Double.POSITIVE_INFINITY;

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Time for which a refusal counts; longer than a second, as refusals arrive with a delay. */
  private static final long REFUSAL_NANOS = 1_200 * NANOS_PER_MILLI;

  /** Time after which a request that was not refused counts as accepted. */
  private static final long ACCEPTANCE_NANOS = 150 * NANOS_PER_MILLI;

  /** Time without refusals after which a brittle endpoint is tried with one more request. */
  private static final long GROWTH_NANOS = 1_000 * NANOS_PER_MILLI;

  /** Part of the refusals that a new scheduler may cause while the one before may still grant. */
  private static final double SHARE_AFTER_TAKEOVER = 0.5;

  /** Larger numbers of refusals are not reached within a second. */
  private static final int MAX_TOLERATED = 100;

  private final Map<Long, Long> undecided = new HashMap<>();
  private final Map<Long, Long> refusals = new HashMap<>();
  private double tolerated = ANY;
  private double share = 1;
  private int room = Integer.MAX_VALUE;
  private long changedAt;
  private long nextGrantAt = Long.MIN_VALUE;
  private long takenOverAt = Long.MIN_VALUE;

  /**
   * Sets the refusals a second that the endpoint bears.
   *
   * @param refusalsPerSecond the number, {@link #ANY} if it is not brittle
   */
  void setTolerated(double refusalsPerSecond, long now) {
    tolerated = refusalsPerSecond;
    if (!isBrittle()) {
      room = Integer.MAX_VALUE;
      undecided.clear();
      refusals.clear();
    }
    update(now);
  }

  /** Sets the fraction of the refusals that this scheduler may cause. */
  void setShare(double updated) {
    share = updated;
  }

  boolean isBrittle() {
    return tolerated != ANY;
  }

  /** Returns the largest number of requests that it may run at a time, as far as is known. */
  int size() {
    return room;
  }

  /** Returns from when on the next request may be granted. */
  long nextGrantAt() {
    return nextGrantAt;
  }

  void granted(long requestId, long now) {
    if (isBrittle()) {
      undecided.put(requestId, now + ACCEPTANCE_NANOS);
      update(now);
    }
  }

  /** Records that a request was accepted, or was given up. */
  void accepted(long requestId, long now) {
    if (undecided.remove(requestId) != null) {
      update(now);
    }
  }

  /** Records a response, which proves room for as many requests as ran until now. */
  void served(int runningBefore, long now) {
    if (!isBrittle()) {
      room = Integer.MAX_VALUE;
    } else if (room <= runningBefore && now - changedAt >= GROWTH_NANOS) {
      room++;
      changedAt = now;
    }
  }

  /** Records a refusal for want of room. */
  void refused(long requestId, int running, long now) {
    room = Math.max(1, running);
    changedAt = now;
    countRefusal(requestId, now);
  }

  /** Records the refusal of a request that another scheduler granted. */
  void refusedElsewhere(long requestId, long now) {
    countRefusal(requestId, now);
  }

  private void countRefusal(long requestId, long now) {
    if (isBrittle()) {
      refusals.putIfAbsent(requestId, now + REFUSAL_NANOS);
      update(now);
    }
  }

  /** Records that this scheduler decides from now on, after one whose grants it does not know. */
  void takeOver(long now) {
    takenOverAt = now;
    update(now);
  }

  /** Computes when refusals and undecided requests together leave room for another request. */
  private void update(long now) {
    undecided.values().removeIf(end -> end <= now);
    refusals.values().removeIf(end -> end <= now);
    nextGrantAt = Long.MIN_VALUE;
    if (!isBrittle()) {
      return;
    }
    if (isWithin(ACCEPTANCE_NANOS, now)) {
      nextGrantAt = takenOverAt + ACCEPTANCE_NANOS;
    }
    double usable = isWithin(REFUSAL_NANOS, now) ? share * SHARE_AFTER_TAKEOVER : share;
    int permitted = (int) Math.max(1, Math.min(tolerated, MAX_TOLERATED) * usable);
    int counted = undecided.size() + refusals.size();
    if (counted >= permitted) {
      long[] ends = new long[counted];
      int i = 0;
      for (long end : undecided.values()) {
        ends[i++] = end;
      }
      for (long end : refusals.values()) {
        ends[i++] = end;
      }
      Arrays.sort(ends);
      nextGrantAt = Math.max(nextGrantAt, ends[counted - permitted]);
    }
  }

  private boolean isWithin(long nanos, long now) {
    return takenOverAt != Long.MIN_VALUE && now - takenOverAt < nanos;
  }
}
