package io.samphiredyke.daemon.entry;

import io.samphiredyke.core.routing.Backoff;
import io.samphiredyke.core.routing.CircuitBreaker;
import io.samphiredyke.core.routing.CustomerLimits;
import io.samphiredyke.core.routing.EndpointRanking;
import io.samphiredyke.core.routing.LengthEstimator;
import io.samphiredyke.core.routing.PrefixCacheIndex;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/** What an entry has learned about endpoints, lengths and customers; used on the control loop. */
public final class RoutingState {

  private static final int MAX_PREFIX_BLOCKS_PER_ENDPOINT = 4096;
  private static final int FAILURES_TO_OPEN_CIRCUIT = 3;
  private static final Duration MIN_CIRCUIT_OPEN = Duration.ofMillis(500);
  private static final Duration MAX_CIRCUIT_OPEN = Duration.ofSeconds(10);

  private final PrefixCacheIndex prefixes = new PrefixCacheIndex(MAX_PREFIX_BLOCKS_PER_ENDPOINT);
  private final EndpointRanking choice = new EndpointRanking(prefixes);
  private final LengthEstimator lengths = new LengthEstimator();
  private final CustomerLimits limits = new CustomerLimits();
  private final Map<String, CircuitBreaker> circuits = new HashMap<>();
  private final RandomGenerator random;

  /** Creates an empty memory. */
  public RoutingState(RandomGenerator random) {
    this.random = random;
  }

  /** Returns the prompt blocks that endpoints are believed to hold. */
  public PrefixCacheIndex prefixes() {
    return prefixes;
  }

  /** Returns the order of endpoints. */
  public EndpointRanking choice() {
    return choice;
  }

  /** Returns the estimates of lengths. */
  public LengthEstimator lengths() {
    return lengths;
  }

  /** Returns the limits of customers. */
  public CustomerLimits limits() {
    return limits;
  }

  /** Returns whether an endpoint may be tried. */
  public CircuitBreaker circuit(String endpoint) {
    return circuits.computeIfAbsent(
        endpoint,
        name ->
            new CircuitBreaker(
                FAILURES_TO_OPEN_CIRCUIT,
                MIN_CIRCUIT_OPEN.toNanos(),
                new Backoff(MIN_CIRCUIT_OPEN.toNanos(), MAX_CIRCUIT_OPEN.toNanos(), random)));
  }
}
