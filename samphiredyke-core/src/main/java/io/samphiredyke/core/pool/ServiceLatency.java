package io.samphiredyke.core.pool;

/**
 * Latency of the endpoints of one service, learned from the requests that they served.
 *
 * <p>Load pattern: services whose endpoints are faster or slower than {@link LatencyModel} assumes.
 * The model gives the shape of the latency; three scales, one for the time to the first event, one
 * for decoding and one for plain requests, are moving averages of observed to modelled times over
 * all endpoints. {@link EndpointLoad} compares each endpoint with this average.
 */
final class ServiceLatency {

  /** Weight of a new observation; averages over about the last 50 requests. */
  private static final double SMOOTHING = 0.02;

  /** Bounds of one observation, so that a single stalled request does not dominate the average. */
  private static final double MIN_RATIO = 0.1;

  private static final double MAX_RATIO = 10;

  private double firstEventScale = 1;
  private double decodeScale = 1;
  private double plainScale = 1;

  /** Returns the expected time of a plain request, milliseconds. */
  double plainMillis() {
    return plainScale * LatencyModel.PLAIN_MILLIS;
  }

  /** Returns the expected prefill time of a prompt, milliseconds. */
  double prefillMillis(double uncachedTokens, double promptTokens) {
    return firstEventScale * LatencyModel.prefillMillis(uncachedTokens, promptTokens);
  }

  /** Returns the expected time to the first event at an idle endpoint, prefill excluded. */
  double firstEventMillis() {
    return firstEventScale * LatencyModel.firstEventMillis();
  }

  /** Returns the expected time to decode an output, milliseconds. */
  double decodeMillis(int outputTokens, int running) {
    return decodeScale * LatencyModel.decodeMillis(outputTokens, running);
  }

  /** Returns the expected time of a request at an idle endpoint of average speed, milliseconds. */
  double idleTotalMillis(WorkEstimate work) {
    return work.isGeneration()
        ? idleFirstEventMillis(work) + decodeMillis(work.outputTokens(), 1)
        : plainMillis();
  }

  /**
   * Returns the expected time to the first event, or the plain response, at an idle endpoint of
   * average speed, milliseconds.
   */
  double idleFirstEventMillis(WorkEstimate work) {
    return work.isGeneration()
        ? firstEventMillis() + prefillMillis(work.promptTokens(), work.promptTokens())
        : plainMillis();
  }

  /** Learns from a first event that was expected after a time by this average. */
  void observeFirstEvent(double observedMillis, double expectedMillis) {
    firstEventScale = moved(firstEventScale, observedMillis, expectedMillis);
  }

  /** Learns from a decoding time that was expected by this average. */
  void observeDecode(double observedMillis, double expectedMillis) {
    decodeScale = moved(decodeScale, observedMillis, expectedMillis);
  }

  /** Learns from a plain response that was expected after a time by this average. */
  void observePlain(double observedMillis, double expectedMillis) {
    plainScale = moved(plainScale, observedMillis, expectedMillis);
  }

  private static double moved(double scale, double observed, double expected) {
    double ratio = observed / Math.max(1, expected);
    double bounded = Math.max(MIN_RATIO, Math.min(MAX_RATIO, ratio));
    return scale + SMOOTHING * (bounded * scale - scale);
  }
}
