package io.samphiredyke.core.broker;

/**
 * Identifies a slot request by the id of the request to be served and the attempt.
 *
 * @param requestId id of the request
 * @param attempt number of the attempt, counted from zero
 */
public record SlotRequestKey(String requestId, int attempt) {}
