package io.samphiredyke.core.routing;

/**
 * What the entry expects of a request.
 *
 * @param tierRank rank of the tier, 0 is the most important
 * @param promptTokens estimated tokens of the prompt
 * @param outputTokens estimated tokens of the answer
 */
public record RequestEstimate(int tierRank, int promptTokens, int outputTokens) {}
