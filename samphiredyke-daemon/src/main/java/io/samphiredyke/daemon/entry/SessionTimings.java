package io.samphiredyke.daemon.entry;

import io.samphiredyke.core.config.Service;
import io.samphiredyke.core.routing.LengthEstimator;
import io.samphiredyke.core.routing.RequestEstimate;
import io.samphiredyke.daemon.response.ResponseBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * The timestamps and token counts of one request, from which estimates, reports to brokers and
 * metrics are derived.
 */
final class SessionTimings {

  private static final double OUTPUT_ESTIMATE_DEVIATIONS = 0.5;
  private static final int MAX_OUTPUT_TOKENS = 32_768;

  private final EntryContext context;
  private final RequestIdentity request;
  private final long receivedAt;
  private long dispatchedAt;
  private long firstChunkAt;
  private long completedAt;
  private int outputTokens;

  SessionTimings(EntryContext context, RequestIdentity request) {
    this.context = context;
    this.request = request;
    this.receivedAt = context.loop().nanoTime();
  }

  long receivedAt() {
    return receivedAt;
  }

  /** Returns the deadline of the request on the monotonic clock, in nanoseconds. */
  long deadline() {
    return receivedAt + Duration.ofMillis(request.service().deadlineMillis()).toNanos();
  }

  /** Estimates the prompt and output length of a payload in tokens. */
  RequestEstimate estimate(Payload payload) {
    Service service = request.service();
    LengthEstimator lengths = context.routing().lengths();
    int bytes = payload.prompt().getBytes(StandardCharsets.UTF_8).length;
    int maxOutput = payload.maxTokens() > 0 ? payload.maxTokens() : MAX_OUTPUT_TOKENS;
    int output =
        lengths.outputTokens(
            service.name(), request.customer().name(), OUTPUT_ESTIMATE_DEVIATIONS, maxOutput);
    return new RequestEstimate(
        request.tierRank(), lengths.promptTokens(service.name(), bytes), output);
  }

  /** Records the dispatch and the time that the request waited for a slot. */
  void recordDispatch() {
    dispatchedAt = context.loop().nanoTime();
    context
        .metrics()
        .recordQueueWait(
            request.service().tier(), request.customer().name(), dispatchedAt - receivedAt);
  }

  /** Records the first chunk of the response; later calls have no effect. */
  void recordFirstChunk() {
    if (firstChunkAt != 0) {
      return;
    }
    firstChunkAt = context.loop().nanoTime();
    context
        .metrics()
        .recordTimeToFirstToken(
            request.service().tier(), request.customer().name(), firstChunkAt - receivedAt);
  }

  /** Returns the time from dispatch to the first token in nanoseconds, 0 if there was none. */
  long timeToFirstTokenNanos() {
    return firstChunkAt == 0 || dispatchedAt == 0 ? 0 : firstChunkAt - dispatchedAt;
  }

  /** Records the completion and the length of the response; the final event carries no token. */
  void recordCompletion(ResponseBuffer buffer, @Nullable Payload payload) {
    completedAt = context.loop().nanoTime();
    outputTokens = (int) Math.max(0, buffer.lastChunkNumber() - 1);
    if (payload == null || payload.prompt().isEmpty()) {
      return;
    }
    String customer = request.customer().name();
    context
        .routing()
        .lengths()
        .observeOutput(request.service().name(), customer, Math.max(1, outputTokens));
    if (interTokenNanos() > 0) {
      context
          .metrics()
          .recordInterTokenLatency(request.service().tier(), customer, interTokenNanos());
    }
  }

  /** Returns the mean time between tokens in nanoseconds, 0 if there were fewer than two. */
  long interTokenNanos() {
    if (outputTokens < 2 || firstChunkAt == 0) {
      return 0;
    }
    return (completedAt - firstChunkAt) / (outputTokens - 1);
  }

  int outputTokens() {
    return outputTokens;
  }

  void recordOutcome(String outcome) {
    long nanos = context.loop().nanoTime() - receivedAt;
    context
        .metrics()
        .recordOutcome(request.service().tier(), request.customer().name(), outcome, nanos);
  }
}
