package io.samphiredyke.core.broker;

import java.util.Comparator;

/** A claim that waits in a {@link SlotRequestQueue}. */
final class QueuedRequest {

  static final Comparator<QueuedRequest> BY_ARRIVAL = Comparator.comparingLong(q -> q.sequence);

  static final Comparator<QueuedRequest> BY_DEADLINE =
      Comparator.<QueuedRequest>comparingLong(q -> q.claim.deadline())
          .thenComparingLong(q -> q.sequence);

  static final Comparator<QueuedRequest> BY_ELIGIBILITY =
      Comparator.<QueuedRequest>comparingLong(q -> q.claim.grantNotBefore())
          .thenComparingLong(q -> q.sequence);

  final SlotRequest claim;
  final long sequence;

  QueuedRequest(SlotRequest claim, long sequence) {
    this.claim = claim;
    this.sequence = sequence;
  }
}
