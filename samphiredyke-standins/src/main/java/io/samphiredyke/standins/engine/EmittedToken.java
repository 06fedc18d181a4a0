package io.samphiredyke.standins.engine;

/**
 * One generated token.
 *
 * @param execution the execution that {@link EngineModel#submit} returned
 * @param id the request id
 * @param offset the token's position in the completion, from 1
 * @param last whether it is the last token of the completion
 * @param prefilledTokens the prompt tokens that the execution has prefilled
 * @param time the time of its generation, nanoseconds of the engine's monotonic clock
 */
public record EmittedToken(
    long execution, String id, int offset, boolean last, long prefilledTokens, long time) {}
