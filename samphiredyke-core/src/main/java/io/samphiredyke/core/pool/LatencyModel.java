package io.samphiredyke.core.pool;

/**
 * Latency model of an endpoint of nominal speed. {@link EndpointLoad} scales it by each endpoint's
 * ratio of observed to expected times.
 */
final class LatencyModel {

  /** Prefill rate, prompt tokens per millisecond; the platform specifies 48.2 for its engines. */
  private static final double PREFILL_TOKENS_PER_MILLI = 48.2;

  /** Duration of one decoding step, milliseconds; the platform specifies at least 2.6. */
  private static final double STEP_MILLIS = 2.6;

  /** Time that each running request adds to a decoding step, milliseconds. */
  private static final double STEP_MILLIS_PER_REQUEST = 0.12;

  /** Attention cost of prefill: milliseconds per million pairs of prompt tokens. */
  private static final double PAIR_MILLIS_PER_MILLION = 0.248;

  /** Time to the first event at an idle engine, prefill excluded, milliseconds. */
  private static final double FIRST_EVENT_MILLIS = 18;

  /** Expected time of a plain request before any was observed, milliseconds. */
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
