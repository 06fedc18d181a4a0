package io.samphiredyke.core.pool;

/**
 * Expected times at an endpoint of usual speed. Each endpoint's own speed is learned from the ratio
 * of observed to expected times.
 */
final class LatencyModel {

  /** Prompt tokens read in a millisecond; the platform states 48.2 for its engines. */
  private static final double PREFILL_TOKENS_PER_MILLI = 48.2;

  /** Milliseconds of one decoding step; the platform states 2.6 and more. */
  private static final double STEP_MILLIS = 2.6;

  /** What each further running request adds to a decoding step, milliseconds. */
  private static final double STEP_MILLIS_PER_REQUEST = 0.12;

  /** Attention cost of long prompts: milliseconds for a million pairs of prompt tokens. */
  private static final double PAIR_MILLIS_PER_MILLION = 0.248;

  /** From the arrival at an idle engine to the first event, without the prompt, milliseconds. */
  private static final double FIRST_EVENT_MILLIS = 18;

  /** Usual time of a plain request before any was observed, milliseconds. */
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
