package io.samphiredyke.core.pool;

import java.util.List;

/**
 * What a request asks of an endpoint.
 *
 * @param promptTokens length of the prompt; 0 for a plain request
 * @param outputTokens expected number of generated tokens; 0 for a plain request
 * @param parts parts of the prompt in order, may be empty
 */
public record WorkEstimate(int promptTokens, int outputTokens, List<PromptPart> parts) {

  /** The work of a request without tokens. */
  public static final WorkEstimate PLAIN = new WorkEstimate(0, 0, List.of());

  /** Returns whether an engine does this work. */
  public boolean isGeneration() {
    return promptTokens > 0;
  }
}
