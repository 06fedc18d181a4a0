package io.samphiredyke.client;

/**
 * The numbers of request ids and connections that a request used.
 *
 * @param requestIds the number of request ids; for each one but the last, the request was reported
 *     as not executed or was not sent
 * @param connections the number of times that the request was sent or resumed
 */
public record AttemptCounts(int requestIds, int connections) {}
