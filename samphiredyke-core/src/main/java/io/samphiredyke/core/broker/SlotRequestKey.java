package io.samphiredyke.core.broker;

/**
 * Names one claim: a request and the attempt for which the claim was made.
 *
 * @param requestId id of the request
 * @param attempt number of the attempt, counted from zero
 */
public record SlotRequestKey(String requestId, int attempt) {}
