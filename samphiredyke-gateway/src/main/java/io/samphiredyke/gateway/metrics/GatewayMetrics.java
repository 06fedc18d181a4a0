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

/**
 * Counters and latency histograms of this host. There is one time series per reason or route, which
 * bounds their number.
 */
public final class GatewayMetrics {

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double[] LATENCY_BOUNDS = {0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4};

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter refusals;
  private final Counter failures;
  private final Counter retries;
  private final Counter endedWithConnection;
  private final Counter endChecks;
  private final Counter retriesBeforeFirstEvent;
  private final Counter faultyStreams;
  private final Counter foreignBytes;
  private final Histogram latencies;

  /** Creates metrics with all values at zero. */
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
    endedWithConnection =
        Counter.builder()
            .name("samphiredyke_ended_with_connection_total")
            .help("Complete responses whose only sign of the end was that of the connection.")
            .labelNames("route")
            .register(registry);
    endChecks =
        Counter.builder()
            .name("samphiredyke_end_checks_total")
            .help("Responses that ended with their connection, by whether their endpoint lived.")
            .labelNames("verdict")
            .register(registry);
    retriesBeforeFirstEvent =
        Counter.builder()
            .name("samphiredyke_repeated_before_first_event_total")
            .help("Streams sent to a further endpoint after a head of success without an event.")
            .register(registry);
    faultyStreams =
        Counter.builder()
            .name("samphiredyke_faulty_streams_total")
            .help("Attempts ended because their events do not continue the stream, by reason.")
            .labelNames("reason")
            .register(registry);
    foreignBytes =
        Counter.builder()
            .name("samphiredyke_foreign_bytes_total")
            .help("Bodies that contain the head of another response, by what it is.")
            .labelNames("reason")
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

  /** Adds a gauge whose value is read on each scrape. */
  public void gauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /** Counts a request that was refused without being run. */
  public void refused(String reason) {
    refusals.labelValues(reason).inc();
  }

  /** Counts a request that may have run but has no response. */
  public void failed(String reason) {
    failures.labelValues(kindOf(reason)).inc();
  }

  /**
   * Removes the detail that follows a colon in a reason, such as the text of an I/O error, to bound
   * the number of time series.
   */
  private static String kindOf(String reason) {
    int colon = reason.indexOf(':');
    return colon < 0 ? reason : reason.substring(0, colon);
  }

  /** Counts a retry of a request at another endpoint. */
  public void retried() {
    retries.inc();
  }

  /** Counts a complete response that had neither a length nor chunks. */
  public void endedWithConnection(String route) {
    endedWithConnection.labelValues(route).inc();
  }

  /** Counts a response that ended with its connection, after which its endpoint was asked. */
  public void endChecked(String verdict) {
    endChecks.labelValues(verdict).inc();
  }

  /** Counts a stream that is retried after a head of success without an event. */
  public void retriedBeforeFirstEvent() {
    retriesBeforeFirstEvent.inc();
  }

  /** Counts an attempt that was ended because of its events. */
  public void faultyStream(String reason) {
    faultyStreams.labelValues(reason).inc();
  }

  /** Counts a body that contains the head of another response. */
  public void foreignBytes(String reason) {
    foreignBytes.labelValues(reason).inc();
  }

  /** Records the latency of a complete response. */
  public void completed(String route, long millis) {
    latencies.labelValues(route).observe(millis / MILLIS_PER_SECOND);
  }

  /** Returns all metrics in the Prometheus text format. */
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
