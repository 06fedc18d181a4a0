package io.samphiredyke.client;

/**
 * One message of a chat.
 *
 * @param role who speaks: {@code system}, {@code user} or {@code assistant}
 * @param content the text
 */
public record ChatMessage(String role, String content) {

  /** Returns a message of the user. */
  public static ChatMessage user(String content) {
    return new ChatMessage("user", content);
  }

  /** Returns a message that sets the rules of the chat. */
  public static ChatMessage system(String content) {
    return new ChatMessage("system", content);
  }
}
