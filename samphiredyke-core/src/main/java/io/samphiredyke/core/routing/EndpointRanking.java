package io.samphiredyke.core.routing;

import io.samphiredyke.core.broker.BrokerStatus;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Ranks the endpoints that may serve a request by expected completion time.
 *
 * <p>The expected completion time is the sum of the wait at the broker, the prefill of the uncached
 * prompt tokens and the decode. Waits and speeds come from the brokers' latest status. A slot of a
 * slower endpoint is requested with a hold-off: it may be granted at once only if the endpoint is
 * expected to finish before the best one would, the wait of the best one included.
 */
public final class EndpointRanking {

  /** Assumptions for an endpoint whose broker has sent no status yet. */
  private static final double DEFAULT_PREFILL_TOKENS_PER_SECOND = 4_000;

  private static final long DEFAULT_TOKEN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

  private final PrefixCacheIndex prefixes;
  private final Map<String, BrokerStatus> statuses = new HashMap<>();

  /**
   * Creates a ranking without broker status.
   *
   * @param prefixes estimate of the endpoints' prefix caches
   */
  public EndpointRanking(PrefixCacheIndex prefixes) {
    this.prefixes = prefixes;
  }

  /** Records the latest status of an endpoint's broker. */
  public void updateStatus(BrokerStatus status) {
    statuses.put(status.endpoint(), status);
  }

  /** Removes all that is known of an endpoint. */
  public void remove(String endpoint) {
    statuses.remove(endpoint);
    prefixes.remove(endpoint);
  }

  /**
   * Returns the candidates in order of expected completion time.
   *
   * @param candidates names of the endpoints that may serve the request
   * @param estimate estimated size of the request
   * @param prompt fingerprint of the prompt
   */
  public List<EndpointOption> rank(
      List<String> candidates, RequestEstimate estimate, PromptFingerprint prompt) {
    List<Expectation> expectations = new ArrayList<>(candidates.size());
    for (String endpoint : candidates) {
      expectations.add(expectation(endpoint, estimate, prompt));
    }
    expectations.sort(Comparator.comparingLong(Expectation::totalNanos));
    List<EndpointOption> options = new ArrayList<>(expectations.size());
    for (Expectation expectation : expectations) {
      options.add(option(expectation, expectations));
    }
    return options;
  }

  private static EndpointOption option(Expectation expectation, List<Expectation> ordered) {
    long holdOff = 0;
    if (expectation != ordered.get(0)) {
      holdOff = Math.max(0, expectation.runNanos - ordered.get(0).totalNanos());
    }
    return new EndpointOption(
        expectation.endpoint, expectation.totalNanos(), holdOff, expectation.cachedTokens);
  }

  private Expectation expectation(
      String endpoint, RequestEstimate estimate, PromptFingerprint prompt) {
    int cachedBlocks = prefixes.cachedBlocks(endpoint, prompt);
    int cached = (int) (estimate.promptTokens() * prompt.share(cachedBlocks));
    BrokerStatus status = statuses.get(endpoint);
    double rate =
        status == null ? DEFAULT_PREFILL_TOKENS_PER_SECOND : status.prefillTokensPerSecond();
    long interval = status == null ? DEFAULT_TOKEN_INTERVAL_NANOS : status.tokenIntervalNanos();
    double uncached = estimate.promptTokens() - cached;
    long prefill = (long) (uncached / rate * TimeUnit.SECONDS.toNanos(1));
    long run = prefill + estimate.outputTokens() * interval;
    long wait = status == null ? 0 : status.waitNanos(estimate.tierRank());
    return new Expectation(endpoint, wait, run, cached);
  }

  private record Expectation(String endpoint, long waitNanos, long runNanos, int cachedTokens) {

    long totalNanos() {
      return waitNanos + runNanos;
    }
  }
}
