package io.samphiredyke.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A chat completion, or one chunk of a streamed completion, in the format of the OpenAI API.
 *
 * @param id {@code chatcmpl-} and the request id
 * @param object {@code chat.completion} or {@code chat.completion.chunk}
 * @param created the time at which the request was accepted, seconds since the epoch
 * @param model the model's name
 * @param choices the only choice
 * @param usage the token counts, only in a non-streaming response
 */
public record ChatCompletion(
    String id,
    String object,
    long created,
    String model,
    List<Choice> choices,
    @Nullable Usage usage) {

  /**
   * The only choice of a completion.
   *
   * @param index 0
   * @param message the complete text, only in a non-streaming response
   * @param delta the token, only in a streamed response
   * @param finishReason {@code stop} or {@code length} in the last chunk, otherwise absent
   */
  public record Choice(
      int index,
      @Nullable Content message,
      @Nullable Content delta,
      @JsonProperty("finish_reason") @Nullable String finishReason) {}

  /**
   * A text and its role.
   *
   * @param role {@code assistant}
   * @param content the text
   */
  public record Content(String role, String content) {}

  /**
   * The token counts of a request.
   *
   * @param promptTokens the tokens of the prompt
   * @param completionTokens the tokens of the completion
   * @param totalTokens their sum
   */
  public record Usage(
      @JsonProperty("prompt_tokens") int promptTokens,
      @JsonProperty("completion_tokens") int completionTokens,
      @JsonProperty("total_tokens") int totalTokens) {}
}
