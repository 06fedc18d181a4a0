package io.samphiredyke.core.pool;

/** A request that holds a slot, with the times that were expected when the slot was granted. */
final class RunningRequest {

  final SlotRequest request;
  final long grantedAt;

  /** Expected prefill time, milliseconds; counts as pending until the first event. */
  final double prefillMillis;

  /** Expected time to the first event or the plain response at this endpoint, milliseconds. */
  final double firstEventMillis;

  /** The same at an endpoint of the service's average speed. */
  final double averageFirstEventMillis;

  /** Expected decoding time at an endpoint of the service's average speed, milliseconds. */
  final double averageDecodeMillis;

  /** Expected time in all, milliseconds. */
  final double totalMillis;

  /** Observed time to the first event, milliseconds; negative before it. */
  double startedAfterMillis = -1;

  /** Whether its end was reported. */
  boolean isReleased;

  RunningRequest(
      SlotRequest request,
      long grantedAt,
      double prefillMillis,
      double firstEventMillis,
      double averageFirstEventMillis,
      double averageDecodeMillis,
      double totalMillis) {
    this.request = request;
    this.grantedAt = grantedAt;
    this.prefillMillis = prefillMillis;
    this.firstEventMillis = firstEventMillis;
    this.averageFirstEventMillis = averageFirstEventMillis;
    this.averageDecodeMillis = averageDecodeMillis;
    this.totalMillis = totalMillis;
  }

  boolean hasStarted() {
    return startedAfterMillis >= 0;
  }
}
