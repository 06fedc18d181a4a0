package io.samphiredyke.core.routing;

import io.samphiredyke.core.broker.BrokerStatus;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Orders the endpoints that may serve a request by expected completion.
 *
 * <p>Expected completion is the wait at the broker, the prefill of what the endpoint does not hold
 * in its cache and the decode. The speeds come from the brokers' last hints. A slower endpoint is
 * claimed with a hold-off: it may grant at once only if it is expected to finish before the best of
 * the others would, its wait included.
 */
public final class EndpointRanking {

  private static final double DEFAULT_PREFILL_TOKENS_PER_SECOND = 4_000;
  private static final long DEFAULT_TOKEN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

  private final PrefixCacheIndex prefixes;
  private final Map<String, BrokerStatus> hints = new HashMap<>();

  /**
   * Creates a choice without hints.
   *
   * @param prefixes what the endpoints are believed to hold
   */
  public EndpointRanking(PrefixCacheIndex prefixes) {
    this.prefixes = prefixes;
  }

  /** Takes over a hint of an endpoint's broker. */
  public void updateStatus(BrokerStatus status) {
    hints.put(status.endpoint(), status);
  }

  /** Forgets an endpoint that is gone. */
  public void forget(String endpoint) {
    hints.remove(endpoint);
    prefixes.forget(endpoint);
  }

  /**
   * Returns the candidates in order of expected completion.
   *
   * @param candidates names of the endpoints that may serve the request
   * @param estimate what is expected of the request
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
    for (Expectation each : expectations) {
      options.add(option(each, expectations));
    }
    return options;
  }

  private static EndpointOption option(Expectation own, List<Expectation> ordered) {
    long holdOff = 0;
    if (own != ordered.get(0)) {
      holdOff = Math.max(0, own.runNanos - ordered.get(0).totalNanos());
    }
    return new EndpointOption(own.endpoint, own.totalNanos(), holdOff, own.cachedTokens);
  }

  private Expectation expectation(
      String endpoint, RequestEstimate estimate, PromptFingerprint prompt) {
    int cachedBlocks = prefixes.cachedBlocks(endpoint, prompt);
    int cached = (int) (estimate.promptTokens() * prompt.share(cachedBlocks));
    BrokerStatus hint = hints.get(endpoint);
    double rate = hint == null ? DEFAULT_PREFILL_TOKENS_PER_SECOND : hint.prefillTokensPerSecond();
    long interval = hint == null ? DEFAULT_TOKEN_INTERVAL_NANOS : hint.tokenIntervalNanos();
    double uncached = estimate.promptTokens() - cached;
    long prefill = (long) (uncached / rate * TimeUnit.SECONDS.toNanos(1));
    long run = prefill + estimate.outputTokens() * interval;
    long wait = hint == null ? 0 : hint.waitNanos(estimate.tierRank());
    return new Expectation(endpoint, wait, run, cached);
  }

  private record Expectation(String endpoint, long waitNanos, long runNanos, int cachedTokens) {

    long totalNanos() {
      return waitNanos + runNanos;
    }
  }
}
