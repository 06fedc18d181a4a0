package io.samphiredyke.core.routing;

/**
 * Estimated size of a request.
 *
 * @param tierRank rank of the tier; 0 is the highest
 * @param promptTokens estimated tokens of the prompt
 * @param outputTokens estimated tokens of the output
 */
public record RequestEstimate(int tierRank, int promptTokens, int outputTokens) {}
