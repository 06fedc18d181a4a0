package io.samphiredyke.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The body of {@code POST /v1/chat/completions}; other members are ignored.
 *
 * @param model the model's name
 * @param messages the conversation
 * @param maxTokens the maximum number of completion tokens
 * @param stream whether the completion is streamed token by token
 */
public record ChatRequest(
    @Nullable String model,
    @Nullable List<Message> messages,
    @JsonProperty("max_tokens") @Nullable Integer maxTokens,
    boolean stream) {

  private static final int DEFAULT_MAX_TOKENS = 64;

  /**
   * One message of the conversation.
   *
   * @param role the speaker's role
   * @param content a text, or structured content whose JSON is used as the text
   */
  public record Message(@Nullable String role, @Nullable JsonNode content) {}

  /**
   * Returns the prompt's text: for each message its role, a line feed, its content and a line feed.
   */
  public String promptText() {
    StringBuilder text = new StringBuilder();
    for (Message message : messages == null ? List.<Message>of() : messages) {
      JsonNode content = message.content();
      text.append(message.role()).append('\n');
      if (content != null) {
        text.append(content.isTextual() ? content.textValue() : content.toString());
      }
      text.append('\n');
    }
    return text.toString();
  }

  /** Returns the maximum number of completion tokens, by default {@value #DEFAULT_MAX_TOKENS}. */
  public int answerLimit() {
    return maxTokens == null ? DEFAULT_MAX_TOKENS : maxTokens;
  }
}
