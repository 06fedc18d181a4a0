package io.samphiredyke.core.broker;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Tracks the prefill backlog of an endpoint and estimates its prefill rate.
 *
 * <p>Engines prefill in order of arrival, so the time to the first token is the time to prefill the
 * backlog and the prompt itself. The rate is learned from the times to the first token that
 * requesters report.
 */
final class PrefillTracker {

  /** Exponent with which an observation scales the estimated rate. */
  private static final double SMOOTHING = 0.2;

  /** Smallest prefill that counts as a sample of the rate, tokens. */
  private static final int MINIMUM_SAMPLE_TOKENS = 32;

  /** Largest ratio, either way, of one observation to the estimate. */
  private static final double RATE_STEP_MAXIMUM = 2.0;

  /** Smallest estimated rate, tokens per second. */
  private static final double RATE_MINIMUM = 10;

  private final Map<SlotRequestKey, PendingPrefill> pending = new LinkedHashMap<>();
  private double tokensPerNano;
  private long pendingTokens;
  private long progressAt;

  PrefillTracker(double tokensPerSecond) {
    tokensPerNano = tokensPerSecond / TimeUnit.SECONDS.toNanos(1);
  }

  double tokensPerSecond() {
    return tokensPerNano * TimeUnit.SECONDS.toNanos(1);
  }

  void restoreRate(double tokensPerSecond) {
    if (tokensPerSecond > 0) {
      tokensPerNano = tokensPerSecond / TimeUnit.SECONDS.toNanos(1);
    }
  }

  long prefillNanos(long tokens) {
    return (long) (tokens / tokensPerNano);
  }

  /** Returns the expected time until the endpoint has prefilled all granted requests. */
  long backlogNanos(long now) {
    if (pending.isEmpty()) {
      return 0;
    }
    return Math.max(0, prefillNanos(pendingTokens) - (now - progressAt));
  }

  int pendingCount() {
    return pending.size();
  }

  void started(SlotRequestKey key, int tokens, long now) {
    if (pending.isEmpty()) {
      progressAt = now;
    }
    long ahead = backlogNanos(now);
    pending.put(key, new PendingPrefill(tokens, ahead + prefillNanos(tokens)));
    pendingTokens += tokens;
  }

  /**
   * Removes the prefill of a request from the backlog and learns from its duration.
   *
   * @param observedNanos time from dispatch to the first token, 0 if there was none
   */
  void finished(SlotRequestKey key, long observedNanos, long now) {
    PendingPrefill done = pending.remove(key);
    if (done == null) {
      return;
    }
    pendingTokens -= done.tokens;
    progressAt = now;
    if (observedNanos > 0 && done.tokens >= MINIMUM_SAMPLE_TOKENS) {
      updateRate((double) done.expectedNanos / observedNanos);
    }
  }

  private void updateRate(double ratio) {
    double bounded = Math.max(1 / RATE_STEP_MAXIMUM, Math.min(RATE_STEP_MAXIMUM, ratio));
    tokensPerNano *= Math.pow(bounded, SMOOTHING);
    tokensPerNano = Math.max(tokensPerNano, RATE_MINIMUM / TimeUnit.SECONDS.toNanos(1));
  }

  private record PendingPrefill(int tokens, long expectedNanos) {}
}
