package io.samphiredyke.standins.engine;

/**
 * A request as the engine model runs it.
 *
 * @param id the request id
 * @param prompt the prompt
 * @param answerTokens the tokens that the answer will have; at least one
 */
public record EngineRequest(String id, Prompt prompt, int answerTokens) {

  /**
   * Checks the length.
   *
   * @throws IllegalArgumentException if the answer would be empty
   */
  public EngineRequest {
    if (answerTokens < 1) {
      throw new IllegalArgumentException("answerTokens is " + answerTokens + ", must be positive");
    }
  }
}
