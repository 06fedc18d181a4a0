package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.core.pool.Outcome;
import io.samphiredyke.core.pool.SlotRefusal;
import io.samphiredyke.core.pool.WorkEstimate;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Messages between the holder of a request and a scheduler. Each may be lost or repeated. */
sealed interface SchedulingMessage {

  /**
   * Asks for a place; repeated until it is answered.
   *
   * @param dueMillis time left to be on time, may be negative
   * @param patienceMillis time left until a start is of no use
   */
  record Acquire(
      long claimId,
      String service,
      int rank,
      double value,
      WorkEstimate work,
      String customer,
      long quotaUnits,
      boolean isRepeat,
      Set<String> excluded,
      long dueMillis,
      long patienceMillis)
      implements SchedulingMessage {}

  /** The claim waits in the scheduler's queue. */
  record Queued(long claimId) implements SchedulingMessage {}

  /** The claim got a place. */
  record Granted(long claimId, String endpointId) implements SchedulingMessage {}

  /** The claim gets no place. */
  record Refused(long claimId, SlotRefusal.Reason reason, long retryAfterMillis)
      implements SchedulingMessage {}

  /** The claim is not needed any more. */
  record Withdrawn(String service, long claimId) implements SchedulingMessage {}

  /** The first event of a stream arrived. */
  record Started(String service, String endpointId, long claimId, double millis)
      implements SchedulingMessage {}

  /** The place is free. */
  record Released(String service, String endpointId, long claimId, Outcome outcome, double millis)
      implements SchedulingMessage {}

  /** A place that the sender holds. */
  record HeldSlot(
      long claimId, String service, String endpointId, int promptTokens, int outputTokens) {}

  /**
   * All places that the sender holds from the receiver.
   *
   * @param usedElsewhere units by customer that others granted the sender lately
   */
  record HeldSlotsReport(List<HeldSlot> places, Map<String, Long> usedElsewhere)
      implements SchedulingMessage {}

  /**
   * Entries of endpoints that the sender read from the store.
   *
   * @param coveredFrom offset from which on all changes are included
   * @param next offset that the sender reads next
   * @param changes changed entries in the order of their offsets
   */
  record EndpointUpdate(long coveredFrom, long next, List<EntryChange> changes)
      implements SchedulingMessage {}

  /**
   * A changed entry.
   *
   * @param value its bytes, empty if it was removed
   */
  record EntryChange(long offset, String key, byte[] value) {}
}
