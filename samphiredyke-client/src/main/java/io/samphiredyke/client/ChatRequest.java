package io.samphiredyke.client;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A request for a chat completion from a service.
 *
 * @param service the name of the service
 * @param messages the messages of the chat so far
 * @param maxTokens the maximum number of tokens in the response
 * @param stream whether the response is streamed token by token
 * @param deadline the time limit for the complete response
 */
public record ChatRequest(
    String service, List<ChatMessage> messages, int maxTokens, boolean stream, Duration deadline) {

  /** Copies the messages. */
  public ChatRequest {
    messages = List.copyOf(messages);
  }

  /** Returns a builder of a streamed request to a service. */
  public static Builder builder(String service) {
    return new Builder(service);
  }

  /** Builder of {@link ChatRequest}. */
  public static final class Builder {

    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(60);

    private final String service;
    private final List<ChatMessage> messages = new ArrayList<>();
    private int maxTokens = DEFAULT_MAX_TOKENS;
    private boolean stream = true;
    private Duration deadline = DEFAULT_DEADLINE;

    private Builder(String service) {
      this.service = service;
    }

    /** Adds a message. */
    public Builder message(ChatMessage message) {
      messages.add(message);
      return this;
    }

    /** Sets the maximum number of tokens in the response. */
    public Builder maxTokens(int maxTokens) {
      this.maxTokens = maxTokens;
      return this;
    }

    /** Sets whether the response is streamed token by token. */
    public Builder stream(boolean stream) {
      this.stream = stream;
      return this;
    }

    /** Sets the time limit for the complete response. */
    public Builder deadline(Duration deadline) {
      this.deadline = deadline;
      return this;
    }

    /**
     * Returns the request.
     *
     * @throws IllegalStateException if there is no message
     */
    public ChatRequest build() {
      if (messages.isEmpty()) {
        throw new IllegalStateException("a chat request must have at least one message");
      }
      return new ChatRequest(service, messages, maxTokens, stream, deadline);
    }
  }
}
