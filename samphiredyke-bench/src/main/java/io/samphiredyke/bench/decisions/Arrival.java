package io.samphiredyke.bench.decisions;

import io.samphiredyke.standins.engine.Prompt;

/**
 * A request of a workload and its arrival time.
 *
 * @param id id of the request
 * @param time arrival time, in nanoseconds of simulated time
 * @param requestClass class of the request
 * @param customer name of the customer
 * @param prompt prompt of the request
 * @param freshTokens prompt tokens that no earlier request contained
 * @param answerTokens length of the response in tokens, unknown to the scheduler
 */
record Arrival(
    String id,
    long time,
    RequestClass requestClass,
    String customer,
    Prompt prompt,
    int freshTokens,
    int answerTokens) {

  private static final double RELAXED_DEADLINE_SECONDS = 3_600;

  long deadline() {
    return time + requestClass.deadlineNanos();
  }

  int tierRank() {
    return requestClass.tierRank();
  }

  /** Returns this request with another arrival time and a deadline that it can't miss. */
  Arrival withoutDeadline(long at) {
    RequestClass relaxed = requestClass.withDeadlineSeconds(RELAXED_DEADLINE_SECONDS);
    return new Arrival(id, at, relaxed, customer, prompt, freshTokens, answerTokens);
  }

  /** Returns the work of this request, in seconds of the fastest engine. */
  double work() {
    return EngineProfile.work(freshTokens, answerTokens);
  }
}
