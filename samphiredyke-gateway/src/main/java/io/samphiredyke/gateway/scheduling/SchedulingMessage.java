package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.pool.Outcome;
import io.samphiredyke.core.pool.SlotRefusal;
import io.samphiredyke.core.pool.WorkEstimate;
import io.samphiredyke.core.quarantine.RequestFingerprint;
import io.samphiredyke.core.rollout.RolloutState;
import io.samphiredyke.core.serving.StreamOrigin;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** A message between a requester and a scheduler. Each may be lost, duplicated or reordered. */
sealed interface SchedulingMessage {

  /**
   * Requests a slot. It is sent again until it is acknowledged, and periodically while it waits.
   *
   * @param isolated the request, if it must run beside no other isolated one
   * @param objectiveMillis time left until the objective is missed, may be negative
   * @param startDeadlineMillis time left until the latest start that still serves the caller
   */
  record Acquire(
      long slotRequestId,
      String service,
      String route,
      int rank,
      double value,
      WorkEstimate estimate,
      String customer,
      long quotaUnits,
      boolean isRetry,
      Set<String> excluded,
      @Nullable RequestFingerprint isolated,
      long objectiveMillis,
      long startDeadlineMillis)
      implements SchedulingMessage {}

  /** Acknowledges that the slot request waits in the scheduler's queue. */
  record Queued(long slotRequestId) implements SchedulingMessage {}

  /** Grants a slot. */
  record Granted(long slotRequestId, String endpointId) implements SchedulingMessage {}

  /** Refuses a slot request. */
  record Refused(long slotRequestId, SlotRefusal.Reason reason, long retryAfterMillis)
      implements SchedulingMessage {}

  /** Withdraws a slot request. */
  record Withdrawn(String service, long slotRequestId) implements SchedulingMessage {}

  /**
   * Reports that the first part of the response has arrived.
   *
   * @param millis time since the grant
   */
  record Started(String service, String endpointId, long slotRequestId, double millis)
      implements SchedulingMessage {}

  /**
   * Releases a slot.
   *
   * @param millis time since the grant
   */
  record Released(
      String service, String endpointId, long slotRequestId, Outcome outcome, double millis)
      implements SchedulingMessage {}

  /** A slot that the sender holds. */
  record HeldSlot(
      long slotRequestId,
      String service,
      String endpointId,
      int promptTokens,
      int outputTokens,
      @Nullable RequestFingerprint isolated) {}

  /**
   * Reports all slots that the sender holds and that the receiver granted, or whose service the
   * receiver now schedules.
   *
   * @param remoteUsage quota units by customer that other schedulers recently granted to the sender
   */
  record HeldSlotsReport(List<HeldSlot> slots, Map<String, Long> remoteUsage)
      implements SchedulingMessage {}

  /**
   * Endpoint entries that the sender read from the store.
   *
   * @param era era of the store in which the offsets are valid
   * @param completeFrom offset from which on all changes are included
   * @param nextOffset offset that the sender reads next
   * @param changes changed entries in the order of their offsets
   */
  record EndpointUpdate(long era, long completeFrom, long nextOffset, List<EntryChange> changes)
      implements SchedulingMessage {}

  /**
   * Limit that an endpoint stated in a response to the sender.
   *
   * @param requestsPerSecond the limit, infinite if it has ended
   */
  record EndpointLimit(String endpointId, double requestsPerSecond) implements SchedulingMessage {}

  /**
   * Brittleness that an endpoint stated in a response to the sender.
   *
   * @param refusalsPerSecond refusals for want of room a second beyond which it fails, infinite if
   *     it is not brittle any more
   */
  record EndpointBrittle(String endpointId, double refusalsPerSecond)
      implements SchedulingMessage {}

  /** A brittle endpoint refused a request of the sender, which another host granted. */
  record EndpointFull(String endpointId, long slotRequestId) implements SchedulingMessage {}

  /** An instance of an endpoint stated in a response to the sender that it leaves. */
  record EndpointLeaving(String endpointId, long startedAtMillis) implements SchedulingMessage {}

  /**
   * Position in the operator's topic that the store has confirmed to the sender.
   *
   * @param era era of the store in which the offset is valid
   * @param nextOffset offset that the sender reads next
   */
  record ConfigurationPosition(long era, long nextOffset) implements SchedulingMessage {}

  /**
   * A prompt part that crashes endpoints.
   *
   * @param strikes how often it has been quarantined, 0 if it is released
   * @param remainingMillis time until the next probe
   */
  record PartQuarantined(long partId, int strikes, long remainingMillis)
      implements SchedulingMessage {}

  /**
   * An instance of an endpoint ended its connection while it ran a request of the sender.
   *
   * @param instance id and start time of the instance
   */
  record EndpointCrashed(String instance, RequestFingerprint request)
      implements SchedulingMessage {}

  /** An instance that was reported as crashed has responded to the sender since. */
  record EndpointResponded(String instance) implements SchedulingMessage {}

  /** A suspected request was served. */
  record RequestServed(RequestFingerprint request) implements SchedulingMessage {}

  /**
   * A request was found to crash endpoints.
   *
   * @param generation how often it was found, from 1
   * @param strikes 1 and the trials that ended with a crash
   * @param trialInMillis time until the next trial
   */
  record RequestQuarantined(
      RequestFingerprint request, int generation, int strikes, long trialInMillis)
      implements SchedulingMessage {}

  /**
   * A quarantined request was served and is released.
   *
   * @param generation how often it had been found to crash endpoints
   */
  record RequestReleased(RequestFingerprint request, int generation) implements SchedulingMessage {}

  /**
   * Digest of the sender's quarantined requests. A receiver whose digest differs announces its own
   * requests and returns its digest.
   */
  record QuarantineDigest(long digest, boolean isResponse) implements SchedulingMessage {}

  /** A stream of the sender began at an endpoint. */
  record StreamBegan(String requestId, StreamOrigin origin) implements SchedulingMessage {}

  /** Asks where a stream began. */
  record StreamOriginQuery(String requestId) implements SchedulingMessage {}

  /** States where a stream began, null if the sender does not know it. */
  record StreamOriginResponse(String requestId, @Nullable StreamOrigin origin)
      implements SchedulingMessage {}

  /** The stage that a roll-out has reached. */
  record RolloutStaged(RolloutState state) implements SchedulingMessage {}

  /**
   * A changed endpoint entry.
   *
   * @param value encoded entry, empty if it was removed
   */
  record EntryChange(long offset, String key, byte[] value) {}
}
