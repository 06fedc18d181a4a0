package io.samphiredyke.daemon.admin;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.LongSupplier;

/**
 * The metrics of one process. Safe for use by several threads.
 *
 * <p>Histograms are kept for each tier and customer, in seconds.
 */
public final class Metrics {

  private static final double[] SECONDS = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6, 51.2
  };
  private static final double[] TOKEN_SECONDS = {
    0.002, 0.005, 0.01, 0.02, 0.03, 0.04, 0.054, 0.075, 0.1, 0.2, 0.5, 1, 5
  };
  private static final double NANOS = 1e9;

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Histogram waiting = perClass("samphiredyke_waiting_seconds", SECONDS);
  private final Histogram recordTimeToFirstToken =
      perClass("samphiredyke_first_token_seconds", SECONDS);
  private final Histogram recordInterTokenLatency =
      perClass("samphiredyke_between_tokens_seconds", TOKEN_SECONDS);
  private final Histogram whole = perClass("samphiredyke_request_seconds", SECONDS);
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

  private Histogram perClass(String name, double[] bounds) {
    return Histogram.builder()
        .name(name)
        .help("Time in seconds by tier and customer.")
        .labelNames("tier", "customer")
        .classicOnly()
        .classicUpperBounds(bounds)
        .register(registry);
  }

  /** Returns the registry that holds all metrics. */
  public PrometheusRegistry registry() {
    return registry;
  }

  /**
   * Shows a counter that is kept elsewhere.
   *
   * @param name its name, which ends in {@code _total}
   * @param help what it counts
   * @param value reads it, from any thread
   */
  public void counter(String name, String help, LongSupplier value) {
    CounterWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsLong()))
        .register(registry);
  }

  /** Records the time from arrival to dispatch, in nanoseconds. */
  public void recordQueueWait(String tier, String customer, long nanos) {
    waiting.labelValues(tier, customer).observe(nanos / NANOS);
  }

  /** Records the time from arrival to the first token, in nanoseconds. */
  public void recordTimeToFirstToken(String tier, String customer, long nanos) {
    recordTimeToFirstToken.labelValues(tier, customer).observe(nanos / NANOS);
  }

  /** Records the mean time between two tokens of one answer, in nanoseconds. */
  public void recordInterTokenLatency(String tier, String customer, long nanos) {
    recordInterTokenLatency.labelValues(tier, customer).observe(nanos / NANOS);
  }

  /** Records the end of a request and the time since its arrival, in nanoseconds. */
  public void recordCompletion(String tier, String customer, String outcome, long nanos) {
    whole.labelValues(tier, customer).observe(nanos / NANOS);
    outcomes.labelValues(tier, customer, outcome).inc();
  }

  /** Counts an event. */
  public void count(String event) {
    events.labelValues(event).inc();
  }
}
