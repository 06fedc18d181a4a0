package io.samphiredyke.client;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A chat completion to ask of a service.
 *
 * @param service the service's name
 * @param messages the chat so far
 * @param maxTokens the most tokens that the answer may have
 * @param stream whether the answer is to come token by token
 * @param deadline how long the caller waits for the whole answer
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

  /** Collects the parts of a request. */
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

    /** Sets the most tokens that the answer may have. */
    public Builder maxTokens(int maxTokens) {
      this.maxTokens = maxTokens;
      return this;
    }

    /** Sets whether the answer is to come token by token. */
    public Builder stream(boolean stream) {
      this.stream = stream;
      return this;
    }

    /** Sets how long the caller waits for the whole answer. */
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
        throw new IllegalStateException("a chat request needs a message");
      }
      return new ChatRequest(service, messages, maxTokens, stream, deadline);
    }
  }
}
