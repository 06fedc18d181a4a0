package io.samphiredyke.core.pool;

/**
 * Latency model of an engine before anything was observed. {@link ServiceLatency} scales it by what
 * the endpoints of a service are observed to take, and {@link EndpointLoad} by each endpoint's
 * ratio to the others; only the proportions of these figures remain.
 */
final class LatencyModel {

  /** Prefill rate, prompt tokens per millisecond. */
  private static final double PREFILL_TOKENS_PER_MILLI = 50;

  /** Duration of one decoding step, milliseconds. */
  private static final double STEP_MILLIS = 2.8;

  /** Time that each running request adds to a decoding step, milliseconds. */
  private static final double STEP_MILLIS_PER_REQUEST = 0.12;

  /** Attention cost of prefill: milliseconds per million pairs of prompt tokens. */
  private static final double PAIR_MILLIS_PER_MILLION = 0.2;

  /** Time to the first event at an idle engine, prefill excluded, milliseconds. */
  private static final double FIRST_EVENT_MILLIS = 18;

  /** Expected time of a plain request, milliseconds. */
  static final double PLAIN_MILLIS = 50;

  private LatencyModel() {}

  static double prefillMillis(double uncachedTokens, double promptTokens) {
    double pairs = uncachedTokens * (promptTokens - uncachedTokens / 2) / 1e6;
    return uncachedTokens / PREFILL_TOKENS_PER_MILLI + pairs * PAIR_MILLIS_PER_MILLION;
  }

  static double firstEventMillis() {
    return FIRST_EVENT_MILLIS;
  }

  static double decodeMillis(int outputTokens, int running) {
    return outputTokens * (STEP_MILLIS + STEP_MILLIS_PER_REQUEST * running);
  }
}
