package io.samphiredyke.bench.load;

/**
 * One request of the schedule.
 *
 * @param index its number, from 0
 * @param arrivalNanos when it is made, after the start of the load
 * @param service what it asks
 * @param customer who asks
 * @param text the prompt, or the body of a plain call as JSON
 * @param maxTokens the most tokens of the answer
 */
record PlannedRequest(
    int index,
    long arrivalNanos,
    LoadPlan.Service service,
    LoadPlan.Customer customer,
    String text,
    int maxTokens) {}
