package io.samphiredyke.daemon.entry;

import io.samphiredyke.core.routing.Backoff;
import io.samphiredyke.core.routing.CircuitBreaker;
import io.samphiredyke.core.routing.CustomerLimits;
import io.samphiredyke.core.routing.EndpointRanking;
import io.samphiredyke.core.routing.LengthEstimator;
import io.samphiredyke.core.routing.PrefixCacheIndex;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * The observations by which an entry routes requests: prefix caches and circuit breakers of
 * endpoints, request lengths and customers' usage.
 *
 * <p>All methods run on the control loop.
 */
public final class RoutingState {

  private static final int MAX_PREFIX_BLOCKS_PER_ENDPOINT = 4096;
  private static final int FAILURES_TO_OPEN_CIRCUIT = 3;
  private static final Duration MIN_CIRCUIT_OPEN = Duration.ofMillis(500);
  private static final Duration MAX_CIRCUIT_OPEN = Duration.ofSeconds(10);

  private final PrefixCacheIndex prefixCaches =
      new PrefixCacheIndex(MAX_PREFIX_BLOCKS_PER_ENDPOINT);
  private final EndpointRanking ranking = new EndpointRanking(prefixCaches);
  private final LengthEstimator lengths = new LengthEstimator();
  private final CustomerLimits limits = new CustomerLimits();
  private final Map<String, CircuitBreaker> circuitBreakers = new HashMap<>();
  private final Set<String> unreached = new HashSet<>();
  private final Map<String, Long> nextProbes = new HashMap<>();
  private final RandomGenerator random;

  /** Creates a state without observations. */
  public RoutingState(RandomGenerator random) {
    this.random = random;
  }

  /** Returns the prompt blocks that endpoints are estimated to have cached. */
  public PrefixCacheIndex prefixCaches() {
    return prefixCaches;
  }

  /** Returns the ranking of endpoints for a request. */
  public EndpointRanking ranking() {
    return ranking;
  }

  /** Returns the estimator of prompt and output lengths. */
  public LengthEstimator lengths() {
    return lengths;
  }

  /** Returns the limits of customers. */
  public CustomerLimits limits() {
    return limits;
  }

  /** Returns the circuit breaker of an endpoint. */
  public CircuitBreaker circuitBreaker(String endpoint) {
    return circuitBreakers.computeIfAbsent(
        endpoint,
        name ->
            new CircuitBreaker(
                FAILURES_TO_OPEN_CIRCUIT,
                MIN_CIRCUIT_OPEN.toNanos(),
                new Backoff(MIN_CIRCUIT_OPEN.toNanos(), MAX_CIRCUIT_OPEN.toNanos(), random)));
  }

  /** Records whether the latest connection to an endpoint was established. */
  public void recordPath(String endpoint, boolean isReached) {
    if (isReached) {
      unreached.remove(endpoint);
    } else {
      unreached.add(endpoint);
    }
  }

  /**
   * Returns whether a request may be dispatched although no circuit breaker of its service's
   * endpoints admits one. If this entry reaches none of them, one may once in a while, so that the
   * return of a path is noticed soon.
   */
  public boolean tryProbe(String service, List<String> endpoints, long now) {
    if (!unreached.containsAll(endpoints)) {
      return true;
    }
    Long next = nextProbes.get(service);
    if (next != null && now < next) {
      return false;
    }
    nextProbes.put(service, now + MIN_CIRCUIT_OPEN.toNanos());
    return true;
  }
}
