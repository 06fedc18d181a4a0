package io.samphiredyke.client.internal;

import io.samphiredyke.client.ChatMessage;
import io.samphiredyke.client.ChatRequest;
import io.samphiredyke.client.ServiceCall;
import io.samphiredyke.net.codec.Json;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * A request in the form in which it is sent.
 *
 * @param service the name of the service
 * @param path the path of the POST request
 * @param headers the headers, except those for the request id and the customer
 * @param body the body
 * @param kind the format of the response
 * @param deadline the time limit for the response
 */
public record EncodedRequest(
    String service,
    String path,
    Map<String, String> headers,
    byte[] body,
    ResponseKind kind,
    Duration deadline) {

  private static final String SERVICE_HEADER = "samphiredyke-service";

  /** The format of a response. */
  public enum ResponseKind {
    /** Server-sent events with contiguous offsets, ended by {@code [DONE]}. */
    STREAM,
    /** A chat completion as JSON. */
    COMPLETION,
    /** An arbitrary body from a plain service. */
    PLAIN
  }

  private record ChatBody(
      String model,
      List<ChatMessage> messages,
      @com.fasterxml.jackson.annotation.JsonProperty("max_tokens") int maxTokens,
      boolean stream) {}

  /** Encodes a chat completion request. */
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

  /** Encodes a request to a plain service. */
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
