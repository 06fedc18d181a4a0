package io.samphiredyke.standins.engine;

import io.samphiredyke.net.codec.Json;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import org.jspecify.annotations.Nullable;

/** The completion of one execution: the tokens generated so far and their HTTP representations. */
final class Completion {

  private static final String ROLE = "assistant";

  private final EngineRequest request;
  private final String model;
  private final int maxTokens;
  private final long created;
  private final CompletionText text;
  private int generatedTokens;
  private long prefilledTokens;

  Completion(EngineRequest request, String model, int maxTokens, long createdSeconds) {
    this.request = request;
    this.model = model;
    this.maxTokens = maxTokens;
    this.created = createdSeconds;
    this.text = CompletionText.of(request.id(), request.prompt().digest());
  }

  String id() {
    return request.id();
  }

  int generatedTokens() {
    return generatedTokens;
  }

  long prefilledTokens() {
    return prefilledTokens;
  }

  boolean isComplete() {
    return generatedTokens == request.answerTokens();
  }

  /** Returns the number of events of the complete stream: one per token and the end marker. */
  int eventCount() {
    return request.answerTokens() + 1;
  }

  void addToken(EmittedToken token) {
    generatedTokens = token.offset();
    prefilledTokens = token.prefilledTokens();
  }

  /** Returns the stream event with a number; its token must have been generated. */
  byte[] event(int number) {
    if (number > request.answerTokens()) {
      return sse(number, "[DONE]");
    }
    boolean last = number == request.answerTokens();
    String token = text.token(number, request.answerTokens());
    ChatCompletion.Content delta = new ChatCompletion.Content(ROLE, token);
    ChatCompletion.Choice choice =
        new ChatCompletion.Choice(0, null, delta, last ? finishReason() : null);
    byte[] json = Json.bytes(chatCompletion("chat.completion.chunk", choice, null));
    return sse(number, new String(json, StandardCharsets.UTF_8));
  }

  /** Returns an event with a number whose data is not valid JSON. */
  static byte[] malformedEvent(int number) {
    return sse(number, "{\"id\":");
  }

  /** Returns the non-streaming response; all tokens must have been generated. */
  ChatCompletion toChatCompletion() {
    int answerTokens = request.answerTokens();
    int promptTokens = request.prompt().tokens();
    ChatCompletion.Content message = new ChatCompletion.Content(ROLE, text.fullText(answerTokens));
    return chatCompletion(
        "chat.completion",
        new ChatCompletion.Choice(0, message, null, finishReason()),
        new ChatCompletion.Usage(promptTokens, answerTokens, promptTokens + answerTokens));
  }

  private ChatCompletion chatCompletion(
      String object, ChatCompletion.Choice choice, ChatCompletion.@Nullable Usage usage) {
    return new ChatCompletion(
        "chatcmpl-" + request.id(), object, created, model, List.of(choice), usage);
  }

  private String finishReason() {
    return request.answerTokens() < maxTokens ? "stop" : "length";
  }

  private static byte[] sse(int number, String data) {
    return String.format(Locale.ROOT, "id: %d\ndata: %s\n\n", number, data)
        .getBytes(StandardCharsets.UTF_8);
  }
}
