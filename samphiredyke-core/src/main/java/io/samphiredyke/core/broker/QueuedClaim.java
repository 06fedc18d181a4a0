package io.samphiredyke.core.broker;

import java.util.Comparator;

/** A claim that waits in a {@link ClaimQueue}. */
final class QueuedClaim {

  static final Comparator<QueuedClaim> BY_ARRIVAL = Comparator.comparingLong(q -> q.sequence);

  static final Comparator<QueuedClaim> BY_DEADLINE =
      Comparator.<QueuedClaim>comparingLong(q -> q.request.deadline())
          .thenComparingLong(q -> q.sequence);

  static final Comparator<QueuedClaim> BY_ELIGIBILITY =
      Comparator.<QueuedClaim>comparingLong(q -> q.request.grantNotBefore())
          .thenComparingLong(q -> q.sequence);

  final Claim request;
  final long sequence;

  QueuedClaim(Claim claim, long sequence) {
    this.request = claim;
    this.sequence = sequence;
  }
}
