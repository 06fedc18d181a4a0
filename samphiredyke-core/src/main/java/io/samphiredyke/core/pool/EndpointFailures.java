package io.samphiredyke.core.pool;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Failures in a row at one endpoint, and the pauses that follow from them.
 *
 * <p>Load pattern: an endpoint that crashes, beside hosts that don't reach sound ones. The failures
 * of one requester pause the endpoint for this requester. They pause it for all if another one
 * fails too, or if nobody else uses the endpoint.
 */
final class EndpointFailures {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Consecutive failures after which an endpoint is paused and then gets one request at a time. */
  private static final int FAILURES_TO_PAUSE = 2;

  /** First and longest pause after consecutive failures, milliseconds; doubles at each failure. */
  private static final long MIN_PAUSE_MILLIS = 250;

  private static final long MAX_PAUSE_MILLIS = 2_000;

  /** Time without failures after which a requester's failures are forgotten. */
  private static final long EXPIRY_NANOS = 30_000 * NANOS_PER_MILLI;

  /** Requesters whose failures are remembered; those that failed last. Bounds the memory. */
  private static final int MAX_REQUESTERS = 128;

  /** Consecutive failures of one requester. */
  private static final class Pair {
    private int failures;
    private long failedAt;
    private long pausedUntil = Long.MIN_VALUE;
  }

  /** In the order of their last failures. */
  private final Map<String, Pair> pairs = new LinkedHashMap<>();

  private final LatestRequesters served = new LatestRequesters();
  private int failures;
  private String firstBlamer = "";
  private boolean hasSeveralBlamers;
  private boolean isFailingForAll;
  private long pausedUntil = Long.MIN_VALUE;

  /** Records a response. */
  void served(String requester, long now) {
    pairs.remove(requester);
    served.add(requester, now);
    failures = 0;
    hasSeveralBlamers = false;
    isFailingForAll = false;
  }

  /**
   * Records a failure.
   *
   * @param isBlamed whether the failure may be the endpoint's, as the requester reaches others
   * @param runsForOthers whether the endpoint runs requests of other requesters
   */
  void failed(String requester, boolean isBlamed, boolean runsForOthers, long now) {
    Pair pair = pairs.remove(requester);
    if (pair == null) {
      makeRoom(now);
      pair = new Pair();
    }
    pairs.put(requester, pair);
    pair.failures++;
    pair.failedAt = now;
    if (pair.failures >= FAILURES_TO_PAUSE) {
      pair.pausedUntil = now + pauseNanos(pair.failures);
    }
    if (isBlamed) {
      blame(requester, runsForOthers, now);
    }
  }

  private void makeRoom(long now) {
    for (Iterator<Pair> oldestFirst = pairs.values().iterator(); oldestFirst.hasNext(); ) {
      boolean isExpired = now - oldestFirst.next().failedAt > EXPIRY_NANOS;
      if (!isExpired && pairs.size() < MAX_REQUESTERS) {
        return;
      }
      oldestFirst.remove();
    }
  }

  private void blame(String requester, boolean runsForOthers, long now) {
    if (failures == 0) {
      firstBlamer = requester;
    }
    failures++;
    hasSeveralBlamers |= !firstBlamer.equals(requester);
    long since = now - MAX_PAUSE_MILLIS * NANOS_PER_MILLI;
    boolean isForAll =
        hasSeveralBlamers || !(runsForOthers || served.includesOther(requester, since));
    if (failures >= FAILURES_TO_PAUSE && isForAll) {
      isFailingForAll = true;
      pausedUntil = now + pauseNanos(failures);
    }
  }

  private static long pauseNanos(int failures) {
    int doublings = Math.min(failures - FAILURES_TO_PAUSE, 4);
    return Math.min(MAX_PAUSE_MILLIS, MIN_PAUSE_MILLIS << doublings) * NANOS_PER_MILLI;
  }

  /** Returns until when it gets no requests of any requester. */
  long pausedUntil() {
    return pausedUntil;
  }

  /** Returns whether it gets only one request at a time from all requesters together. */
  boolean isFailingForAll() {
    return isFailingForAll;
  }

  /** Returns whether the latest requests of a requester have failed. */
  boolean isFailingFor(String requester) {
    if (pairs.isEmpty()) {
      return false;
    }
    Pair pair = pairs.get(requester);
    return pair != null && pair.failures >= FAILURES_TO_PAUSE;
  }

  /** Returns whether it gets no requests of a requester, because that one's have failed. */
  boolean isPausedFor(String requester, long now) {
    if (pairs.isEmpty()) {
      return false;
    }
    Pair pair = pairs.get(requester);
    return pair != null && pair.pausedUntil > now;
  }

  /** Forgets a requester that is gone. */
  void forget(String requester) {
    pairs.remove(requester);
  }

  /** Returns the number of requesters whose latest request failed. */
  int failingCount() {
    return pairs.size();
  }
}
