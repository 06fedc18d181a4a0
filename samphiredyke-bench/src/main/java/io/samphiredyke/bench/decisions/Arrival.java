package io.samphiredyke.bench.decisions;

import io.samphiredyke.standins.engine.Prompt;

/**
 * One request of a workload.
 *
 * @param id id of the request
 * @param time arrival, nanoseconds of model time
 * @param requestClass its class
 * @param customer name of the customer
 * @param prompt its prompt
 * @param freshTokens tokens of the prompt that no earlier request had
 * @param answerTokens tokens of the answer, unknown to the scheduler
 */
record Arrival(
    String id,
    long time,
    RequestClass requestClass,
    String customer,
    Prompt prompt,
    int freshTokens,
    int answerTokens) {

  private static final double AMPLE_SECONDS = 3_600;

  long deadline() {
    return time + requestClass.deadlineNanos();
  }

  int tierRank() {
    return requestClass.tierRank();
  }

  /** Returns the same request at another time and with ample time to be answered. */
  Arrival withoutDeadline(long at) {
    RequestClass relaxed = requestClass.withDeadlineSeconds(AMPLE_SECONDS);
    return new Arrival(id, at, relaxed, customer, prompt, freshTokens, answerTokens);
  }

  double work() {
    return EngineProfile.work(freshTokens, answerTokens);
  }
}
