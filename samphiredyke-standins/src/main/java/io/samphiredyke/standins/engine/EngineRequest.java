package io.samphiredyke.standins.engine;

/**
 * A request to the engine model.
 *
 * @param id the request id
 * @param prompt the prompt
 * @param answerTokens the number of tokens to generate; at least one
 */
public record EngineRequest(String id, Prompt prompt, int answerTokens) {

  /**
   * Validates the number of tokens.
   *
   * @throws IllegalArgumentException if no token would be generated
   */
  public EngineRequest {
    if (answerTokens < 1) {
      throw new IllegalArgumentException("answerTokens is " + answerTokens + ", must be positive");
    }
  }
}
