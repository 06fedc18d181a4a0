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

  /** Returns the ratio of observed to modelled times to the first event. */
  double firstEventScale() {
    return firstEventScale;
  }

  /** Returns the ratio of observed to modelled decoding times. */
  double decodeScale() {
    return decodeScale;
  }

  /** Returns the ratio of observed to modelled times of plain requests. */
  double plainScale() {
    return plainScale;
  }

  /** Returns the expected time of a request at an idle endpoint of average speed, milliseconds. */
  double idleTotalMillis(WorkEstimate work) {
    double firstEvent = idleFirstEventMillis(work);
    return work.isGeneration()
        ? firstEvent + decodeScale * LatencyModel.decodeMillis(work.outputTokens(), 1)
        : firstEvent;
  }

  /**
   * Returns the expected time to the first event, or the plain response, at an idle endpoint of
   * average speed, milliseconds.
   */
  double idleFirstEventMillis(WorkEstimate work) {
    if (!work.isGeneration()) {
      return plainScale * LatencyModel.PLAIN_MILLIS;
    }
    double prefill = LatencyModel.prefillMillis(work.promptTokens(), work.promptTokens());
    return firstEventScale * (LatencyModel.firstEventMillis() + prefill);
  }

  /** Learns from the time to a first event, which does not depend on what was learned before. */
  void observeFirstEvent(double observedMillis, double modelledMillis) {
    firstEventScale = average(firstEventScale, observedMillis, modelledMillis);
  }

  /** Learns from a decoding time. */
  void observeDecode(double observedMillis, double modelledMillis) {
    decodeScale = average(decodeScale, observedMillis, modelledMillis);
  }

  /** Learns from the time of a plain response. */
  void observePlain(double observedMillis, double modelledMillis) {
    plainScale = average(plainScale, observedMillis, modelledMillis);
  }

  private static double average(double scale, double observed, double modelled) {
    double ratio = observed / Math.max(1, modelled);
    double bounded = Math.max(MIN_RATIO, Math.min(MAX_RATIO, ratio));
    return scale + SMOOTHING * (bounded - scale);
  }
}
