package io.samphiredyke.core.orders;

import io.samphiredyke.core.orders.LeaseRecord.HeldLease;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Keeps the lease of this host's own session.
 *
 * <p>The lease is measured from when a record was sent and counts only once that record has been
 * read back from the stream, before any end of the session. The answer to the append isn't used: a
 * lost one is settled by reading. Not thread-safe.
 */
final class LeaseKeeper {

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
  private long notBefore = NONE;

  LeaseKeeper(String session, OrderSettings settings, RandomGenerator random) {
    this.session = session;
    this.settings = settings;
    this.random = random;
  }

  /** Returns how much of the lease is left, negative if none is. */
  long leaseLeft(long now) {
    return leaseStart == NONE ? -1 : leaseStart + settings.leaseDuration() - now;
  }

  boolean isAmple(long now) {
    return leaseLeft(now) >= settings.minRemainingLease();
  }

  boolean isRenewalDue(long now) {
    return lastSent == NONE || now - lastSent >= settings.renewalInterval();
  }

  boolean mayAppend(long now) {
    if (isPending && now < pendingUntil) {
      return false;
    }
    return notBefore == NONE || now >= notBefore;
  }

  /** Numbers the record that is to be sent now. */
  LeaseRecord send(LeaseRecord.Builder builder, long now) {
    sequence++;
    sentAt.put(sequence, now);
    isPending = true;
    pendingSequence = sequence;
    pendingUntil = now + settings.appendTimeout();
    lastSent = now;
    notBefore = now + settings.minAppendInterval();
    return builder.session(session).sequence(sequence).build();
  }

  /** Appends nothing for a while. */
  void pause(long now) {
    notBefore =
        now
            + settings.minAppendInterval()
            + random.nextLong(Math.max(1, 2 * settings.minAppendInterval()));
  }

  /** Notes that an append failed or its answer was lost. The record may still be in the log. */
  void failed(long now) {
    pause(now);
    lastSent = NONE;
  }

  /** Notes a record that has been applied to the table. */
  void applied(LeaseRecord record, List<HeldLease> holds) {
    if (holds.isEmpty()) {
      leaseStart = NONE;
    }
    if (!record.session().equals(session)) {
      return;
    }
    Long sent = sentAt.get(record.sequence());
    if (sent != null && !holds.isEmpty()) {
      leaseStart = Math.max(leaseStart, sent);
    }
    sentAt.keySet().removeIf(number -> number <= record.sequence());
    if (record.sequence() == pendingSequence) {
      isPending = false;
    }
  }

  /** Notes that the state was lost. */
  void reset() {
    leaseStart = NONE;
  }
}
