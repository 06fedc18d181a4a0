package io.samphiredyke.core.pool;

/** A request that holds a slot, with the times that were expected when the slot was granted. */
final class RunningRequest {

  final SlotRequest request;
  final long grantedAt;

  /** Modelled prefill time, milliseconds; counts as pending until the first event. */
  final double modelledPrefillMillis;

  /** Modelled time to the first event or the plain response, milliseconds; 0 if unknown. */
  final double modelledFirstEventMillis;

  /** Modelled decoding time, milliseconds; 0 for a plain request or if unknown. */
  final double modelledDecodeMillis;

  /** Expected time to the first event or the plain response at this endpoint, milliseconds. */
  final double firstEventMillis;

  /** Expected time in all, milliseconds. */
  final double totalMillis;

  /** Observed time to the first event, milliseconds; negative before it. */
  double startedAfterMillis = -1;

  /** Whether it tests if its requester reaches the endpoint. */
  boolean isProbe;

  /** Whether its end was reported. */
  boolean isReleased;

  RunningRequest(
      SlotRequest request,
      long grantedAt,
      double modelledPrefillMillis,
      double modelledFirstEventMillis,
      double modelledDecodeMillis,
      double firstEventMillis,
      double totalMillis) {
    this.request = request;
    this.grantedAt = grantedAt;
    this.modelledPrefillMillis = modelledPrefillMillis;
    this.modelledFirstEventMillis = modelledFirstEventMillis;
    this.modelledDecodeMillis = modelledDecodeMillis;
    this.firstEventMillis = firstEventMillis;
    this.totalMillis = totalMillis;
  }

  boolean hasStarted() {
    return startedAfterMillis >= 0;
  }
}
