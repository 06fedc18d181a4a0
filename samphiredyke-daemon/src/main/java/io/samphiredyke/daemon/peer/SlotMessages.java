package io.samphiredyke.daemon.peer;

import io.samphiredyke.core.broker.BrokerDecision;
import io.samphiredyke.core.broker.BrokerStatus;
import io.samphiredyke.core.broker.RefusalReason;
import io.samphiredyke.core.broker.Release;
import io.samphiredyke.core.broker.SlotRefusal;
import io.samphiredyke.core.broker.SlotRequest;
import io.samphiredyke.core.broker.SlotRequestKey;
import io.samphiredyke.schema.message.Adopt;
import io.samphiredyke.schema.message.Claim;
import io.samphiredyke.schema.message.Grant;
import io.samphiredyke.schema.message.PeerMessage;
import io.samphiredyke.schema.message.Refusal;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongUnaryOperator;

/**
 * Converts slot requests, the decisions about them and releases to and from peer messages.
 *
 * <p>Points in time are sent as durations from now, because the hosts' monotonic clocks differ.
 */
public final class SlotMessages {

  private SlotMessages() {}

  /** Returns the message for a slot request. */
  public static Claim toMessage(SlotRequest request, long now) {
    return Claim.builder()
        .requestId(request.requestId())
        .attempt(request.attempt())
        .endpoint(request.endpoint())
        .service(request.service())
        .customer(request.customer())
        .tierRank(request.tierRank())
        .customerWeight(request.customerWeight())
        .remainingMicros(toMicros(request.deadline() - now))
        .waitedMicros(toMicros(now - request.receivedAt()))
        .holdOffMicros(Math.max(0, toMicros(request.grantNotBefore() - now)))
        .promptTokens(request.promptTokens())
        .cachedTokens(request.cachedTokens())
        .outputTokens(request.outputTokens())
        .build();
  }

  /** Returns the slot request in an entry's message. */
  public static SlotRequest toSlotRequest(Claim message, String entry, long now) {
    return SlotRequest.builder()
        .requestId(message.requestId())
        .attempt(message.attempt())
        .requester(entry)
        .endpoint(message.endpoint())
        .service(message.service())
        .customer(message.customer())
        .tierRank(Math.max(0, message.tierRank()))
        .customerWeight(message.customerWeight())
        .deadline(now + toNanos(message.remainingMicros()))
        .receivedAt(now - toNanos(message.waitedMicros()))
        .grantNotBefore(now + toNanos(message.holdOffMicros()))
        .promptTokens(message.promptTokens())
        .cachedTokens(message.cachedTokens())
        .outputTokens(message.outputTokens())
        .build();
  }

  /** Returns the granted slot request that an entry announces to a new broker. */
  public static SlotRequest toSlotRequest(Adopt message, String entry, long now) {
    return SlotRequest.builder()
        .requestId(message.requestId())
        .attempt(message.attempt())
        .requester(entry)
        .endpoint(message.endpoint())
        .service(message.service())
        .customer(message.customer())
        .tierRank(Math.max(0, message.tierRank()))
        .customerWeight(message.customerWeight())
        .deadline(now + toNanos(message.remainingMicros()))
        .receivedAt(now - toNanos(message.waitedMicros()))
        .promptTokens(message.promptTokens())
        .cachedTokens(message.cachedTokens())
        .outputTokens(message.outputTokens())
        .build();
  }

  /** Returns the message that announces a slot in use to a new broker. */
  public static Adopt toAdopt(SlotRequest request, boolean prefilling, long now) {
    return Adopt.builder()
        .requestId(request.requestId())
        .attempt(request.attempt())
        .endpoint(request.endpoint())
        .service(request.service())
        .customer(request.customer())
        .tierRank(request.tierRank())
        .customerWeight(request.customerWeight())
        .remainingMicros(toMicros(request.deadline() - now))
        .waitedMicros(toMicros(now - request.receivedAt()))
        .promptTokens(request.promptTokens())
        .cachedTokens(request.cachedTokens())
        .outputTokens(request.outputTokens())
        .prefilling(prefilling)
        .build();
  }

  /** Returns the message for a decision, with the current status of the broker. */
  public static PeerMessage toMessage(BrokerDecision decision, BrokerStatus status) {
    SlotRequest request = decision.request();
    if (decision instanceof SlotRefusal refusal) {
      return Refusal.builder()
          .requestId(request.requestId())
          .attempt(request.attempt())
          .endpoint(request.endpoint())
          .reason(Refusal.Reason.of(refusal.reason().name()))
          .retryAfterMicros(toMicros(refusal.retryAfterNanos()))
          .leaving(status.draining())
          .inFlight(status.inFlight())
          .limit(status.limit())
          .queuedByTier(status.queuedByTier().stream().mapToLong(n -> n).toArray())
          .waitMicrosByTier(waitMicrosByTier(status))
          .prefillTokensPerSecond(status.prefillTokensPerSecond())
          .tokenIntervalMicros(toMicros(status.tokenIntervalNanos()))
          .build();
    }
    return Grant.builder()
        .requestId(request.requestId())
        .attempt(request.attempt())
        .endpoint(request.endpoint())
        .leaving(status.draining())
        .inFlight(status.inFlight())
        .limit(status.limit())
        .queuedByTier(status.queuedByTier().stream().mapToLong(n -> n).toArray())
        .waitMicrosByTier(waitMicrosByTier(status))
        .prefillTokensPerSecond(status.prefillTokensPerSecond())
        .tokenIntervalMicros(toMicros(status.tokenIntervalNanos()))
        .build();
  }

  /** Returns the status of the broker in a grant. */
  public static BrokerStatus status(Grant grant) {
    return new BrokerStatus(
        grant.endpoint(),
        grant.leaving(),
        grant.inFlight(),
        grant.limit(),
        toIntegers(grant.queuedByTier()),
        toLongs(grant.waitMicrosByTier(), SlotMessages::toNanos),
        grant.prefillTokensPerSecond(),
        toNanos(grant.tokenIntervalMicros()));
  }

  /** Returns the status of the broker in a refusal. */
  public static BrokerStatus status(Refusal refusal) {
    return new BrokerStatus(
        refusal.endpoint(),
        refusal.leaving(),
        refusal.inFlight(),
        refusal.limit(),
        toIntegers(refusal.queuedByTier()),
        toLongs(refusal.waitMicrosByTier(), SlotMessages::toNanos),
        refusal.prefillTokensPerSecond(),
        toNanos(refusal.tokenIntervalMicros()));
  }

  /**
   * Returns the reason of a refusal. An unknown reason of a later version counts as a full queue.
   */
  public static RefusalReason reason(Refusal refusal) {
    if (refusal.reason() == Refusal.Reason.UNRECOGNIZED) {
      return RefusalReason.QUEUE_FULL;
    }
    return RefusalReason.valueOf(refusal.reason().name());
  }

  /** Returns the message that releases a slot. */
  public static io.samphiredyke.schema.message.Release toMessage(String endpoint, Release release) {
    return io.samphiredyke.schema.message.Release.builder()
        .requestId(release.key().requestId())
        .attempt(release.key().attempt())
        .endpoint(endpoint)
        .outcome(io.samphiredyke.schema.message.Release.Outcome.of(release.outcome().name()))
        .firstTokenMicros(toMicros(release.firstTokenNanos()))
        .meanTokenIntervalMicros(toMicros(release.meanTokenIntervalNanos()))
        .outputTokens(release.outputTokens())
        .build();
  }

  /** Returns the release in a message. An unknown outcome of a later version counts as failed. */
  public static Release toRelease(io.samphiredyke.schema.message.Release message) {
    SlotRequestKey key = new SlotRequestKey(message.requestId(), message.attempt());
    if (message.outcome() == io.samphiredyke.schema.message.Release.Outcome.UNRECOGNIZED) {
      return new Release(key, Release.Outcome.FAILED, 0, 0, 0);
    }
    return new Release(
        key,
        Release.Outcome.valueOf(message.outcome().name()),
        toNanos(message.firstTokenMicros()),
        toNanos(message.meanTokenIntervalMicros()),
        message.outputTokens());
  }

  private static long toMicros(long nanos) {
    return TimeUnit.NANOSECONDS.toMicros(nanos);
  }

  private static long toNanos(long micros) {
    return TimeUnit.MICROSECONDS.toNanos(micros);
  }

  private static long[] waitMicrosByTier(BrokerStatus status) {
    return status.waitNanosByTier().stream().mapToLong(SlotMessages::toMicros).toArray();
  }

  private static List<Integer> toIntegers(long[] values) {
    return Arrays.stream(values).mapToObj(value -> (int) value).toList();
  }

  private static List<Long> toLongs(long[] values, LongUnaryOperator unit) {
    return Arrays.stream(values).map(unit).boxed().toList();
  }
}
