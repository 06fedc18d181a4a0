package io.samphiredyke.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.samphiredyke.core.config.Service;
import io.samphiredyke.net.codec.Json;
import io.samphiredyke.net.http.HttpException;
import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The content of a caller's request in the form that is sent to an endpoint.
 *
 * @param path the path at the endpoint
 * @param body the body to send to the endpoint
 * @param digest SHA-256 of the body as received from the caller, in hexadecimal
 * @param prompt the text of the prompt, empty for a plain service
 * @param wantsStream whether the caller requested server-sent events
 * @param maxTokens the maximum length of the response in tokens, 0 if the caller set none
 */
record Payload(
    String path, byte[] body, String digest, String prompt, boolean wantsStream, int maxTokens) {

  private static final String CHAT_PATH = "/v1/chat/completions";

  /**
   * Parses the body of a chat completion request.
   *
   * @throws HttpException 400 if it is not a chat completion request
   */
  static JsonNode parse(byte[] body) {
    try {
      JsonNode tree = Json.mapper().readTree(body);
      if (tree instanceof ObjectNode && tree.path("messages").isArray()) {
        return tree;
      }
    } catch (IOException e) {
      throw new HttpException(400, "the body is not JSON: " + e.getMessage());
    }
    throw new HttpException(400, "the body is not a chat completion with messages");
  }

  /** Creates the payload of a chat completion, with the service's model and streaming enabled. */
  static Payload ofChat(byte[] body, JsonNode chat, Service service) {
    ObjectNode forwarded = ((ObjectNode) chat).deepCopy();
    forwarded.put("model", service.model());
    forwarded.put("stream", true);
    StringBuilder prompt = new StringBuilder();
    chat.path("messages").forEach(message -> appendContent(prompt, message.path("content")));
    return new Payload(
        CHAT_PATH,
        Json.bytes(forwarded),
        digest(body),
        prompt.toString(),
        chat.path("stream").asBoolean(false),
        Math.max(0, chat.path("max_tokens").asInt(0)));
  }

  private static void appendContent(StringBuilder prompt, JsonNode content) {
    if (content.isTextual()) {
      prompt.append(content.asText()).append('\n');
      return;
    }
    content.forEach(part -> prompt.append(part.path("text").asText()).append('\n'));
  }

  /** Creates the payload of a call to a plain service. */
  static Payload ofCall(String path, byte[] body) {
    return new Payload(path, body, digest(body), "", false, 0);
  }

  private static String digest(byte[] body) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }
}
