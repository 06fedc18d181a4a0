package io.samphiredyke.core.pool;

import java.util.List;

/**
 * Estimated work of a request for an endpoint.
 *
 * @param promptTokens tokens of the prompt; 0 for a plain request
 * @param outputTokens expected tokens of the output; 0 for a plain request
 * @param parts parts of the prompt in order; may be empty
 */
public record WorkEstimate(int promptTokens, int outputTokens, List<PromptPart> parts) {

  /** The work of a plain request, which has no tokens. */
  public static final WorkEstimate PLAIN = new WorkEstimate(0, 0, List.of());

  /** Returns whether this is the work of a generation, which needs a model engine. */
  public boolean isGeneration() {
    return promptTokens > 0;
  }
}
