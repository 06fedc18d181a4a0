package io.samphiredyke.standins.engine;

/**
 * One token of an answer.
 *
 * @param execution the execution that {@link EngineModel#submit} returned
 * @param id the request id
 * @param offset the token's place in the answer, from 1
 * @param last whether the answer ends with it
 * @param prefilledTokens the prompt tokens that the execution computed
 * @param time when it was made, nanoseconds of the engine's monotonic clock
 */
public record EmittedToken(
    long execution, String id, int offset, boolean last, long prefilledTokens, long time) {}
