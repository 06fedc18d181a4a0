package io.samphiredyke.daemon.entry;

import io.samphiredyke.core.routing.Backoff;
import io.samphiredyke.core.routing.CircuitState;
import io.samphiredyke.core.routing.CustomerLimits;
import io.samphiredyke.core.routing.EndpointChoice;
import io.samphiredyke.core.routing.LengthEstimator;
import io.samphiredyke.core.routing.PrefixMap;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/** What an entry has learned about endpoints, lengths and customers; used on the control loop. */
public final class Learned {

  private static final int MAX_PREFIX_BLOCKS_PER_ENDPOINT = 4096;
  private static final int FAILURES_TO_OPEN_CIRCUIT = 3;
  private static final Duration MIN_CIRCUIT_OPEN = Duration.ofMillis(500);
  private static final Duration MAX_CIRCUIT_OPEN = Duration.ofSeconds(10);

  private final PrefixMap prefixes = new PrefixMap(MAX_PREFIX_BLOCKS_PER_ENDPOINT);
  private final EndpointChoice choice = new EndpointChoice(prefixes);
  private final LengthEstimator lengths = new LengthEstimator();
  private final CustomerLimits limits = new CustomerLimits();
  private final Map<String, CircuitState> circuits = new HashMap<>();
  private final RandomGenerator random;

  /** Creates an empty memory. */
  public Learned(RandomGenerator random) {
    this.random = random;
  }

  /** Returns the prompt blocks that endpoints are believed to hold. */
  public PrefixMap prefixes() {
    return prefixes;
  }

  /** Returns the order of endpoints. */
  public EndpointChoice choice() {
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
  public CircuitState circuit(String endpoint) {
    return circuits.computeIfAbsent(
        endpoint,
        name ->
            new CircuitState(
                FAILURES_TO_OPEN_CIRCUIT,
                MIN_CIRCUIT_OPEN.toNanos(),
                new Backoff(MIN_CIRCUIT_OPEN.toNanos(), MAX_CIRCUIT_OPEN.toNanos(), random)));
  }
}
