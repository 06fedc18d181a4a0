package io.samphiredyke.gateway.place;

import io.samphiredyke.core.pool.Outcome;
import io.samphiredyke.core.pool.Refusal;
import io.samphiredyke.core.pool.Work;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Messages between the holder of a request and a scheduler. Each may be lost or repeated. */
sealed interface PlaceMessage {

  /**
   * Asks for a place; repeated until it is answered.
   *
   * @param objectiveMillis time left to be on time, may be negative
   * @param startDeadlineMillis time left until a start is of no use
   */
  record Ask(
      long slotRequestId,
      String service,
      int priority,
      double value,
      Work estimate,
      String customer,
      long quotaUnits,
      boolean isRetry,
      Set<String> excluded,
      long objectiveMillis,
      long startDeadlineMillis)
      implements PlaceMessage {}

  /** The claim waits in the scheduler's queue. */
  record Queued(long slotRequestId) implements PlaceMessage {}

  /** The claim got a place. */
  record Granted(long slotRequestId, String endpointId) implements PlaceMessage {}

  /** The claim gets no place. */
  record Refused(long slotRequestId, Refusal.Reason reason, long retryAfterMillis)
      implements PlaceMessage {}

  /** The claim is not needed any more. */
  record Withdrawn(String service, long slotRequestId) implements PlaceMessage {}

  /** The first event of a stream arrived. */
  record Started(String service, String endpointId, long slotRequestId, double millis)
      implements PlaceMessage {}

  /** The place is free. */
  record Released(
      String service, String endpointId, long slotRequestId, Outcome outcome, double millis)
      implements PlaceMessage {}

  /** A place that the sender holds. */
  record Held(
      long slotRequestId, String service, String endpointId, int promptTokens, int outputTokens) {}

  /**
   * All places that the sender holds from the receiver.
   *
   * @param remoteUsage units by customer that others granted the sender lately
   */
  record Holding(List<Held> slots, Map<String, Long> remoteUsage) implements PlaceMessage {}

  /**
   * Entries of endpoints that the sender read from the store.
   *
   * @param completeFrom offset from which on all changes are included
   * @param nextOffset offset that the sender reads next
   * @param changes changed entries in the order of their offsets
   */
  record EndpointNews(long completeFrom, long nextOffset, List<EntryChange> changes)
      implements PlaceMessage {}

  /**
   * A changed entry.
   *
   * @param value its bytes, empty if it was removed
   */
  record EntryChange(long offset, String key, byte[] value) {}
}
