package io.samphiredyke.daemon.peer;

import io.samphiredyke.core.broker.BrokerDecision;
import io.samphiredyke.core.broker.BrokerStatus;
import io.samphiredyke.core.broker.RefusalReason;
import io.samphiredyke.core.broker.Release;
import io.samphiredyke.core.broker.SlotRefusal;
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
 * Converts claims and the decisions about them to messages and back.
 *
 * <p>Times travel as remaining time, because the hosts' monotonic clocks differ.
 */
public final class SlotMessages {

  private SlotMessages() {}

  /** Returns the message that makes a claim. */
  public static Claim toMessage(io.samphiredyke.core.broker.SlotRequest claim, long now) {
    return Claim.builder()
        .requestId(claim.requestId())
        .attempt(claim.attempt())
        .endpoint(claim.endpoint())
        .service(claim.service())
        .customer(claim.customer())
        .tierRank(claim.tierRank())
        .customerWeight(claim.customerWeight())
        .remainingMicros(micros(claim.deadline() - now))
        .waitedMicros(micros(now - claim.receivedAt()))
        .holdOffMicros(Math.max(0, micros(claim.grantNotBefore() - now)))
        .promptTokens(claim.promptTokens())
        .cachedTokens(claim.cachedTokens())
        .outputTokens(claim.outputTokens())
        .build();
  }

  /** Returns the claim that an entry makes with a message. */
  public static io.samphiredyke.core.broker.SlotRequest toClaim(
      Claim message, String entry, long now) {
    return io.samphiredyke.core.broker.SlotRequest.builder()
        .requestId(message.requestId())
        .attempt(message.attempt())
        .requester(entry)
        .endpoint(message.endpoint())
        .service(message.service())
        .customer(message.customer())
        .tierRank(Math.max(0, message.tierRank()))
        .customerWeight(message.customerWeight())
        .deadline(now + nanos(message.remainingMicros()))
        .receivedAt(now - nanos(message.waitedMicros()))
        .grantNotBefore(now + nanos(message.holdOffMicros()))
        .promptTokens(message.promptTokens())
        .cachedTokens(message.cachedTokens())
        .outputTokens(message.outputTokens())
        .build();
  }

  /** Returns the granted claim that an entry tells a new broker about. */
  public static io.samphiredyke.core.broker.SlotRequest toClaim(
      Adopt message, String entry, long now) {
    return io.samphiredyke.core.broker.SlotRequest.builder()
        .requestId(message.requestId())
        .attempt(message.attempt())
        .requester(entry)
        .endpoint(message.endpoint())
        .service(message.service())
        .customer(message.customer())
        .tierRank(Math.max(0, message.tierRank()))
        .customerWeight(message.customerWeight())
        .deadline(now + nanos(message.remainingMicros()))
        .receivedAt(now - nanos(message.waitedMicros()))
        .promptTokens(message.promptTokens())
        .cachedTokens(message.cachedTokens())
        .outputTokens(message.outputTokens())
        .build();
  }

  /** Returns the message that tells a new broker about a grant that is in use. */
  public static Adopt toAdopt(
      io.samphiredyke.core.broker.SlotRequest claim, boolean prefilling, long now) {
    return Adopt.builder()
        .requestId(claim.requestId())
        .attempt(claim.attempt())
        .endpoint(claim.endpoint())
        .service(claim.service())
        .customer(claim.customer())
        .tierRank(claim.tierRank())
        .customerWeight(claim.customerWeight())
        .remainingMicros(micros(claim.deadline() - now))
        .waitedMicros(micros(now - claim.receivedAt()))
        .promptTokens(claim.promptTokens())
        .cachedTokens(claim.cachedTokens())
        .outputTokens(claim.outputTokens())
        .prefilling(prefilling)
        .build();
  }

  /** Returns the message that carries a decision, with the broker's state as a hint. */
  public static PeerMessage toMessage(BrokerDecision decision, BrokerStatus hint) {
    io.samphiredyke.core.broker.SlotRequest claim = decision.request();
    if (decision instanceof SlotRefusal refuse) {
      return Refusal.builder()
          .requestId(claim.requestId())
          .attempt(claim.attempt())
          .endpoint(claim.endpoint())
          .reason(Refusal.Reason.of(refuse.reason().name()))
          .retryAfterMicros(micros(refuse.retryAfterNanos()))
          .leaving(hint.draining())
          .inFlight(hint.inFlight())
          .limit(hint.limit())
          .queuedByTier(hint.queuedByTier().stream().mapToLong(n -> n).toArray())
          .waitMicrosByTier(waitMicros(hint))
          .prefillTokensPerSecond(hint.prefillTokensPerSecond())
          .tokenIntervalMicros(micros(hint.tokenIntervalNanos()))
          .build();
    }
    return Grant.builder()
        .requestId(claim.requestId())
        .attempt(claim.attempt())
        .endpoint(claim.endpoint())
        .leaving(hint.draining())
        .inFlight(hint.inFlight())
        .limit(hint.limit())
        .queuedByTier(hint.queuedByTier().stream().mapToLong(n -> n).toArray())
        .waitMicrosByTier(waitMicros(hint))
        .prefillTokensPerSecond(hint.prefillTokensPerSecond())
        .tokenIntervalMicros(micros(hint.tokenIntervalNanos()))
        .build();
  }

  /** Returns the broker's state that a grant carries. */
  public static BrokerStatus hint(Grant grant) {
    return new BrokerStatus(
        grant.endpoint(),
        grant.leaving(),
        grant.inFlight(),
        grant.limit(),
        integers(grant.queuedByTier()),
        longs(grant.waitMicrosByTier(), SlotMessages::nanos),
        grant.prefillTokensPerSecond(),
        nanos(grant.tokenIntervalMicros()));
  }

  /** Returns the broker's state that a refusal carries. */
  public static BrokerStatus hint(Refusal refusal) {
    return new BrokerStatus(
        refusal.endpoint(),
        refusal.leaving(),
        refusal.inFlight(),
        refusal.limit(),
        integers(refusal.queuedByTier()),
        longs(refusal.waitMicrosByTier(), SlotMessages::nanos),
        refusal.prefillTokensPerSecond(),
        nanos(refusal.tokenIntervalMicros()));
  }

  /** Returns the reason of a refusal; a reason of a later version counts as load. */
  public static RefusalReason reason(Refusal refusal) {
    if (refusal.reason() == Refusal.Reason.UNRECOGNIZED) {
      return RefusalReason.QUEUE_FULL;
    }
    return RefusalReason.valueOf(refusal.reason().name());
  }

  /** Returns the message that gives a grant back. */
  public static io.samphiredyke.schema.message.Release toMessage(String endpoint, Release release) {
    return io.samphiredyke.schema.message.Release.builder()
        .requestId(release.key().requestId())
        .attempt(release.key().attempt())
        .endpoint(endpoint)
        .outcome(io.samphiredyke.schema.message.Release.Outcome.of(release.outcome().name()))
        .firstTokenMicros(micros(release.firstTokenNanos()))
        .meanTokenIntervalMicros(micros(release.meanTokenIntervalNanos()))
        .outputTokens(release.outputTokens())
        .build();
  }

  /** Returns the release that a message carries. */
  public static Release toRelease(io.samphiredyke.schema.message.Release message) {
    SlotRequestKey key = new SlotRequestKey(message.requestId(), message.attempt());
    if (message.outcome() == io.samphiredyke.schema.message.Release.Outcome.UNRECOGNIZED) {
      return new Release(key, Release.Outcome.FAILED, 0, 0, 0);
    }
    return new Release(
        key,
        Release.Outcome.valueOf(message.outcome().name()),
        nanos(message.firstTokenMicros()),
        nanos(message.meanTokenIntervalMicros()),
        message.outputTokens());
  }

  private static long micros(long nanos) {
    return TimeUnit.NANOSECONDS.toMicros(nanos);
  }

  private static long nanos(long micros) {
    return TimeUnit.MICROSECONDS.toNanos(micros);
  }

  private static long[] waitMicros(BrokerStatus hint) {
    return hint.waitNanosByTier().stream().mapToLong(SlotMessages::micros).toArray();
  }

  private static List<Integer> integers(long[] values) {
    return Arrays.stream(values).mapToObj(value -> (int) value).toList();
  }

  private static List<Long> longs(long[] values, LongUnaryOperator unit) {
    return Arrays.stream(values).map(unit).boxed().toList();
  }
}
