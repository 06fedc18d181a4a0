package io.samphiredyke.core.pool;

/** Tells whether waiting requests are expected to start in time. */
final class StartForecast {

  /** Lower bound of the slots in estimates, so that no return is scheduled as endless. */
  private static final double MIN_SLOTS = 0.001;

  private final SlotTurnover turnover;
  private final EndpointIndex endpoints;

  StartForecast(SlotTurnover turnover, EndpointIndex endpoints) {
    this.turnover = turnover;
    this.endpoints = endpoints;
  }

  /** Returns how many slots the service can keep in use, which may be less than one. */
  double slots() {
    return endpoints.slots(turnover.meanHoldMillis());
  }

  /** Returns the number of slots for the estimate of a return, which is more than none. */
  double positiveSlots() {
    return Math.max(MIN_SLOTS, slots());
  }

  boolean isExpectedLate(WaitingRequest request, int position, long now) {
    double slots = slots();
    return slots <= 0 || now + turnover.expectedWait(position, slots) > request.latestOnTimeStart;
  }

  /**
   * Returns whether a request is expected to start before its start deadline. One that became late
   * while it waited is refused if arriving ones would overtake it, because its caller may return at
   * a better time. One that arrived late has probably returned already and waits on.
   */
  boolean canStart(WaitingRequest each, int position, long now) {
    double slots = slots();
    long wait =
        each.isLate && !each.hasArrivedLate
            ? turnover.expectedLateWait(position, slots, now)
            : turnover.expectedWait(position, slots);
    return slots > 0 && now + wait <= each.request.startDeadline();
  }
}
