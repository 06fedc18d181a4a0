package io.samphiredyke.client.internal;

import io.samphiredyke.client.ChatMessage;
import io.samphiredyke.client.ChatRequest;
import io.samphiredyke.client.ServiceCall;
import io.samphiredyke.net.codec.Json;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * A request as it goes over the wire.
 *
 * @param service the service's name
 * @param path the path to post to
 * @param headers headers besides those of the request id and the customer
 * @param body the body
 * @param responseKind how the answer is to be read
 * @param deadline how long the caller waits
 */
public record EncodedRequest(
    String service,
    String path,
    Map<String, String> headers,
    byte[] body,
    ResponseKind responseKind,
    Duration deadline) {

  private static final String SERVICE_HEADER = "samphiredyke-service";

  /** How an answer is to be read. */
  public enum ResponseKind {
    /** Server-sent events with contiguous offsets that end with {@code [DONE]}. */
    STREAM,
    /** One chat completion as JSON. */
    COMPLETION,
    /** Any body of a plain service. */
    PLAIN
  }

  private record ChatBody(
      String model,
      List<ChatMessage> messages,
      @com.fasterxml.jackson.annotation.JsonProperty("max_tokens") int maxTokens,
      boolean stream) {}

  /** Returns the call for a chat completion. */
  public static EncodedRequest of(ChatRequest request) {
    ChatBody body =
        new ChatBody(request.service(), request.messages(), request.maxTokens(), request.stream());
    return new EncodedRequest(
        request.service(),
        "/v1/chat/completions",
        Map.of("content-type", "application/json", SERVICE_HEADER, request.service()),
        Json.bytes(body),
        request.stream() ? ResponseKind.STREAM : ResponseKind.COMPLETION,
        request.deadline());
  }

  /** Returns the call to a plain service. */
  public static EncodedRequest of(ServiceCall call) {
    return new EncodedRequest(
        call.service(),
        "/v1/services/" + call.service() + "/" + call.path(),
        Map.of("content-type", "application/json"),
        call.body(),
        ResponseKind.PLAIN,
        call.deadline());
  }
}
