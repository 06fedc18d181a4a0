package io.samphiredyke.gateway.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.DoubleSupplier;

/** Counters and latency histograms of this host. The series are bounded by reasons and routes. */
public final class GatewayMetrics {

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double[] LATENCY_BOUNDS = {0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4};

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter refusals;
  private final Counter failures;
  private final Counter retries;
  private final Histogram latencies;

  /** Creates metrics at zero. */
  public GatewayMetrics() {
    refusals =
        Counter.builder()
            .name("samphiredyke_refused_total")
            .help("Requests answered as not run, by reason.")
            .labelNames("reason")
            .register(registry);
    failures =
        Counter.builder()
            .name("samphiredyke_failed_total")
            .help("Requests that an endpoint may have run and that have no answer, by reason.")
            .labelNames("reason")
            .register(registry);
    retries =
        Counter.builder()
            .name("samphiredyke_repeated_total")
            .help("Requests sent to a further endpoint.")
            .register(registry);
    latencies =
        Histogram.builder()
            .name("samphiredyke_answer_seconds")
            .help("Time from the request's head to the end of the answer, by route.")
            .classicOnly()
            .classicUpperBounds(LATENCY_BOUNDS)
            .labelNames("route")
            .register(registry);
  }

  /** Adds a value that is read when it is asked for. */
  public void gauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /** Counts a request that was answered as not run. */
  public void refused(String reason) {
    refusals.labelValues(reason).inc();
  }

  /** Counts a request that may have run and has no answer. */
  public void failed(String reason) {
    failures.labelValues(kindOf(reason)).inc();
  }

  /** Reasons of broken connections carry texts of the system; their first words are the kind. */
  private static String kindOf(String reason) {
    int colon = reason.indexOf(':');
    return colon < 0 ? reason : reason.substring(0, colon);
  }

  /** Counts a request that is sent to a further endpoint. */
  public void retried() {
    retries.inc();
  }

  /** Notes a whole answer. */
  public void completed(String route, long millis) {
    latencies.labelValues(route).observe(millis / MILLIS_PER_SECOND);
  }

  /** Returns the page in the Prometheus text format. */
  public byte[] page() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }
}
