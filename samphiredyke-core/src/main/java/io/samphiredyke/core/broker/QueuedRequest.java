package io.samphiredyke.core.broker;

import java.util.Comparator;

/** A request in a {@link SlotRequestQueue}, with its sequence number of arrival. */
final class QueuedRequest {

  static final Comparator<QueuedRequest> BY_ARRIVAL = Comparator.comparingLong(q -> q.sequence);

  static final Comparator<QueuedRequest> BY_DEADLINE =
      Comparator.<QueuedRequest>comparingLong(q -> q.request.deadline())
          .thenComparingLong(q -> q.sequence);

  static final Comparator<QueuedRequest> BY_ELIGIBILITY =
      Comparator.<QueuedRequest>comparingLong(q -> q.request.grantNotBefore())
          .thenComparingLong(q -> q.sequence);

  final SlotRequest request;
  final long sequence;

  QueuedRequest(SlotRequest request, long sequence) {
    this.request = request;
    this.sequence = sequence;
  }
}
