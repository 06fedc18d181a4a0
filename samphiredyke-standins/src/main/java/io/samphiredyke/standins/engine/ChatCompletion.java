package io.samphiredyke.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * An answer, or one token of a streamed answer, in OpenAI's form.
 *
 * @param id {@code chatcmpl-} and the request id
 * @param object {@code chat.completion} or {@code chat.completion.chunk}
 * @param created when the request was accepted, seconds since 1970
 * @param model the model's name
 * @param choices the one answer
 * @param usage the tokens, only in a whole answer
 */
public record ChatCompletion(
    String id,
    String object,
    long created,
    String model,
    List<Choice> choices,
    @Nullable Usage usage) {

  /**
   * The one answer.
   *
   * @param index 0
   * @param message the whole text, only in a whole answer
   * @param delta the token, only in a streamed answer
   * @param finishReason {@code stop} or {@code length} in the last part, otherwise absent
   */
  public record Choice(
      int index,
      @Nullable Content message,
      @Nullable Content delta,
      @JsonProperty("finish_reason") @Nullable String finishReason) {}

  /**
   * A text and who says it.
   *
   * @param role {@code assistant}
   * @param content the text
   */
  public record Content(String role, String content) {}

  /**
   * The tokens of a request.
   *
   * @param promptTokens those of the prompt
   * @param completionTokens those of the answer
   * @param totalTokens their sum
   */
  public record Usage(
      @JsonProperty("prompt_tokens") int promptTokens,
      @JsonProperty("completion_tokens") int completionTokens,
      @JsonProperty("total_tokens") int totalTokens) {}
}
