package io.samphiredyke.client;

/**
 * A message of a chat.
 *
 * @param role the role of the author: {@code system}, {@code user} or {@code assistant}
 * @param content the text
 */
public record ChatMessage(String role, String content) {

  /** Returns a message of the user. */
  public static ChatMessage user(String content) {
    return new ChatMessage("user", content);
  }

  /** Returns a system message, which instructs the model. */
  public static ChatMessage system(String content) {
    return new ChatMessage("system", content);
  }
}
