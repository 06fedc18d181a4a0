package io.samphiredyke.daemon.admin;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.LongSupplier;

/**
 * The metrics of the process. Thread-safe.
 *
 * <p>Durations are recorded as histograms in seconds, labelled by tier and customer.
 */
public final class Metrics {

  private static final double[] DURATION_BUCKETS_SECONDS = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6, 51.2
  };
  private static final double[] TOKEN_INTERVAL_BUCKETS_SECONDS = {
    0.002, 0.005, 0.01, 0.02, 0.03, 0.04, 0.054, 0.075, 0.1, 0.2, 0.5, 1, 5
  };
  private static final double NANOS_PER_SECOND = 1e9;

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Histogram queueWait =
      histogram("samphiredyke_waiting_seconds", DURATION_BUCKETS_SECONDS);
  private final Histogram timeToFirstToken =
      histogram("samphiredyke_first_token_seconds", DURATION_BUCKETS_SECONDS);
  private final Histogram interTokenLatency =
      histogram("samphiredyke_between_tokens_seconds", TOKEN_INTERVAL_BUCKETS_SECONDS);
  private final Histogram requestDuration =
      histogram("samphiredyke_request_seconds", DURATION_BUCKETS_SECONDS);
  private final Counter outcomes =
      Counter.builder()
          .name("samphiredyke_requests_total")
          .help("Requests by how they ended.")
          .labelNames("tier", "customer", "outcome")
          .register(registry);
  private final Counter events =
      Counter.builder()
          .name("samphiredyke_events_total")
          .help("Events inside the process by name.")
          .labelNames("event")
          .register(registry);

  private Histogram histogram(String name, double[] bounds) {
    return Histogram.builder()
        .name(name)
        .help("Time in seconds by tier and customer.")
        .labelNames("tier", "customer")
        .classicOnly()
        .classicUpperBounds(bounds)
        .register(registry);
  }

  /** Returns the registry of all metrics. */
  public PrometheusRegistry registry() {
    return registry;
  }

  /**
   * Registers a counter whose value is maintained elsewhere.
   *
   * @param name the name of the counter, which ends in {@code _total}
   * @param help the description of the counter
   * @param value returns the current value; called on any thread
   */
  public void registerCounter(String name, String help, LongSupplier value) {
    CounterWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsLong()))
        .register(registry);
  }

  /** Records the time from the arrival of a request to its dispatch, in nanoseconds. */
  public void recordQueueWait(String tier, String customer, long nanos) {
    queueWait.labelValues(tier, customer).observe(nanos / NANOS_PER_SECOND);
  }

  /** Records the time from the arrival of a request to its first token, in nanoseconds. */
  public void recordTimeToFirstToken(String tier, String customer, long nanos) {
    timeToFirstToken.labelValues(tier, customer).observe(nanos / NANOS_PER_SECOND);
  }

  /** Records the mean time between two tokens of one response, in nanoseconds. */
  public void recordInterTokenLatency(String tier, String customer, long nanos) {
    interTokenLatency.labelValues(tier, customer).observe(nanos / NANOS_PER_SECOND);
  }

  /** Records the outcome of a request and the time since its arrival, in nanoseconds. */
  public void recordOutcome(String tier, String customer, String outcome, long nanos) {
    requestDuration.labelValues(tier, customer).observe(nanos / NANOS_PER_SECOND);
    outcomes.labelValues(tier, customer, outcome).inc();
  }

  /** Increments the counter of an event. */
  public void count(String event) {
    events.labelValues(event).inc();
  }
}
