package io.samphiredyke.core.broker;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The prefill work that an endpoint has before it and the rate at which it does it.
 *
 * <p>Engines prefill in order of arrival, so the time to the first token is the time to prefill all
 * that was granted before. The rate is learned from the first tokens that entries report.
 */
final class PrefillTracker {

  private static final double SMOOTHING = 0.2;
  private static final int MINIMUM_SAMPLE_TOKENS = 32;
  private static final double STEP_MAXIMUM = 2.0;
  private static final double RATE_MINIMUM = 10;

  private final Map<SlotRequestKey, Pending> pending = new LinkedHashMap<>();
  private double tokensPerNano;
  private long pendingTokens;
  private long progressAt;

  PrefillTracker(double tokensPerSecond) {
    tokensPerNano = tokensPerSecond / TimeUnit.SECONDS.toNanos(1);
  }

  double tokensPerSecond() {
    return tokensPerNano * TimeUnit.SECONDS.toNanos(1);
  }

  void restore(double tokensPerSecond) {
    if (tokensPerSecond > 0) {
      tokensPerNano = tokensPerSecond / TimeUnit.SECONDS.toNanos(1);
    }
  }

  long prefillNanos(long tokens) {
    return (long) (tokens / tokensPerNano);
  }

  /** Returns the time that the endpoint needs to prefill all that it was given. */
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
    pending.put(key, new Pending(tokens, ahead + prefillNanos(tokens)));
    pendingTokens += tokens;
  }

  /**
   * Ends the prefill of a claim.
   *
   * @param observedNanos time from dispatch to the first token, 0 if there was none
   */
  void finished(SlotRequestKey key, long observedNanos, long now) {
    Pending done = pending.remove(key);
    if (done == null) {
      return;
    }
    pendingTokens -= done.tokens;
    progressAt = now;
    if (observedNanos > 0 && done.tokens >= MINIMUM_SAMPLE_TOKENS) {
      learn((double) done.expectedNanos / observedNanos);
    }
  }

  private void learn(double ratio) {
    double bounded = Math.max(1 / STEP_MAXIMUM, Math.min(STEP_MAXIMUM, ratio));
    tokensPerNano *= Math.pow(bounded, SMOOTHING);
    tokensPerNano = Math.max(tokensPerNano, RATE_MINIMUM / TimeUnit.SECONDS.toNanos(1));
  }

  private record Pending(int tokens, long expectedNanos) {}
}
