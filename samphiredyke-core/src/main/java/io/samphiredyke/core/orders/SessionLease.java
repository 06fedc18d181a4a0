package io.samphiredyke.core.orders;

import io.samphiredyke.core.orders.LeaseRecord.HeldLease;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Lease of this host's own session, and the numbering and timing of its records.
 *
 * <p>The lease starts when a record is sent, and takes effect only when that record has been read
 * back from the stream before any end of the session. The response to the append is not used, so
 * that a lost response does no harm. Not thread-safe.
 */
final class SessionLease {

  private static final long NONE = Long.MIN_VALUE;

  private final String session;
  private final OrderSettings settings;
  private final RandomGenerator random;
  private final Map<Long, Long> sentAt = new HashMap<>();
  private long leaseStart = NONE;
  private long sequence;
  private long pendingSequence;
  private boolean isPending;
  private long pendingUntil;
  private long lastSent = NONE;
  private long nextAppendAt = NONE;

  SessionLease(String session, OrderSettings settings, RandomGenerator random) {
    this.session = session;
    this.settings = settings;
    this.random = random;
  }

  /** Returns the remaining time of the lease, negative if there is none. */
  long remaining(long now) {
    return leaseStart == NONE ? -1 : leaseStart + settings.leaseDuration() - now;
  }

  boolean hasMinRemaining(long now) {
    return remaining(now) >= settings.minRemainingLease();
  }

  boolean isRenewalDue(long now) {
    return lastSent == NONE || now - lastSent >= settings.renewalInterval();
  }

  boolean mayAppend(long now) {
    if (isPending && now < pendingUntil) {
      return false;
    }
    return nextAppendAt == NONE || now >= nextAppendAt;
  }

  /** Assigns the next sequence number to a record, which must be sent immediately. */
  LeaseRecord nextRecord(LeaseRecord.Builder builder, long now) {
    sequence++;
    sentAt.put(sequence, now);
    isPending = true;
    pendingSequence = sequence;
    pendingUntil = now + settings.appendTimeout();
    lastSent = now;
    nextAppendAt = now + settings.minAppendInterval();
    return builder.session(session).sequence(sequence).build();
  }

  /** Defers further appends by a random time. */
  void deferAppends(long now) {
    nextAppendAt =
        now
            + settings.minAppendInterval()
            + random.nextLong(Math.max(1, 2 * settings.minAppendInterval()));
  }

  /** Handles a failed append or a lost response; the record may still be in the log. */
  void appendFailed(long now) {
    deferAppends(now);
    lastSent = NONE;
  }

  /** Handles a record that has been applied to the lease table. */
  void recordApplied(LeaseRecord record, List<HeldLease> heldLeases) {
    if (heldLeases.isEmpty()) {
      leaseStart = NONE;
    }
    if (!record.session().equals(session)) {
      return;
    }
    Long sent = sentAt.get(record.sequence());
    if (sent != null && !heldLeases.isEmpty()) {
      leaseStart = Math.max(leaseStart, sent);
    }
    sentAt.keySet().removeIf(number -> number <= record.sequence());
    if (record.sequence() == pendingSequence) {
      isPending = false;
    }
  }

  /** Ends the lease, because the state of the leases was lost. */
  void reset() {
    leaseStart = NONE;
  }
}
