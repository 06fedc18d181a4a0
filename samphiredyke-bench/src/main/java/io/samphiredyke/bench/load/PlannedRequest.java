package io.samphiredyke.bench.load;

/**
 * A request of the schedule.
 *
 * @param index index in the schedule, from 0
 * @param arrivalNanos send time after the start of the run, in nanoseconds
 * @param service the called service
 * @param customer the calling customer
 * @param text the prompt, or the body of a plain call as JSON
 * @param maxTokens maximum tokens of the response
 */
record PlannedRequest(
    int index,
    long arrivalNanos,
    LoadPlan.Service service,
    LoadPlan.Customer customer,
    String text,
    int maxTokens) {}
