package io.samphiredyke.core.broker;

import java.util.List;

/**
 * Snapshot of a broker's state, for status pages and for the endpoint ranking at requesters.
 *
 * @param endpoint name of the endpoint
 * @param draining whether the endpoint takes no new work
 * @param inFlight granted requests that have not been released
 * @param limit current concurrency limit
 * @param queuedByTier queued requests of each tier, by rank
 * @param waitNanosByTier expected wait of a new request of each tier, by rank, nanoseconds
 * @param prefillTokensPerSecond estimated prefill rate
 * @param tokenIntervalNanos estimated time between tokens, nanoseconds
 */
public record BrokerStatus(
    String endpoint,
    boolean draining,
    int inFlight,
    int limit,
    List<Integer> queuedByTier,
    List<Long> waitNanosByTier,
    double prefillTokensPerSecond,
    long tokenIntervalNanos) {

  /** Copies the lists. */
  public BrokerStatus {
    queuedByTier = List.copyOf(queuedByTier);
    waitNanosByTier = List.copyOf(waitNanosByTier);
  }

  /**
   * Returns the expected wait of a new request.
   *
   * @param tierRank rank of the request's tier; 0 is the highest
   */
  public long waitNanos(int tierRank) {
    if (waitNanosByTier.isEmpty()) {
      return 0;
    }
    return waitNanosByTier.get(Math.min(tierRank, waitNanosByTier.size() - 1));
  }
}
