package io.samphiredyke.core.broker;

import java.util.List;

/**
 * A broker's state at one moment, for status pages and as a hint to entries.
 *
 * @param endpoint name of the endpoint
 * @param draining whether the endpoint takes no new work
 * @param inFlight granted claims that were not released
 * @param limit concurrency limit in force
 * @param queuedByTier queued claims by rank of the tier
 * @param waitNanosByTier expected wait of a new claim by rank of the tier, nanoseconds
 * @param prefillTokensPerSecond learned prefill rate
 * @param tokenIntervalNanos learned time between tokens
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
   * Returns the expected wait of a new claim.
   *
   * @param tierRank rank of the claim's tier
   */
  public long waitNanos(int tierRank) {
    if (waitNanosByTier.isEmpty()) {
      return 0;
    }
    return waitNanosByTier.get(Math.min(tierRank, waitNanosByTier.size() - 1));
  }
}
