package io.samphiredyke.standins.engine;

import io.samphiredyke.net.codec.Json;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import org.jspecify.annotations.Nullable;

/** The answer of one execution as far as it was made, in its HTTP forms. */
final class Answer {

  private static final String ROLE = "assistant";

  private final EngineRequest request;
  private final String model;
  private final int limit;
  private final long created;
  private final AnswerText text;
  private int made;
  private long prefilledTokens;

  Answer(EngineRequest request, String model, int limit, long createdSeconds) {
    this.request = request;
    this.model = model;
    this.limit = limit;
    this.created = createdSeconds;
    this.text = AnswerText.of(request.id(), request.prompt().digest());
  }

  String id() {
    return request.id();
  }

  int made() {
    return made;
  }

  long prefilledTokens() {
    return prefilledTokens;
  }

  boolean isWhole() {
    return made == request.answerTokens();
  }

  /** Returns the number of events in the whole stream: the tokens and the end mark. */
  int events() {
    return request.answerTokens() + 1;
  }

  void advance(EmittedToken token) {
    made = token.offset();
    prefilledTokens = token.prefilledTokens();
  }

  /** Returns the stream's event of a number; the token must have been made. */
  byte[] event(int number) {
    if (number > request.answerTokens()) {
      return sse(number, "[DONE]");
    }
    boolean last = number == request.answerTokens();
    String token = text.token(number, request.answerTokens());
    ChatCompletion.Content delta = new ChatCompletion.Content(ROLE, token);
    ChatCompletion.Choice choice =
        new ChatCompletion.Choice(0, null, delta, last ? finishReason() : null);
    byte[] json = Json.bytes(completion("chat.completion.chunk", choice, null));
    return sse(number, new String(json, StandardCharsets.UTF_8));
  }

  /** Returns an event of a number whose data is not valid JSON. */
  static byte[] malformedEvent(int number) {
    return sse(number, "{\"id\":");
  }

  /** Returns the whole answer; it must have been made. */
  ChatCompletion whole() {
    int answerTokens = request.answerTokens();
    int promptTokens = request.prompt().tokens();
    ChatCompletion.Content message = new ChatCompletion.Content(ROLE, text.whole(answerTokens));
    return completion(
        "chat.completion",
        new ChatCompletion.Choice(0, message, null, finishReason()),
        new ChatCompletion.Usage(promptTokens, answerTokens, promptTokens + answerTokens));
  }

  private ChatCompletion completion(
      String object, ChatCompletion.Choice choice, ChatCompletion.@Nullable Usage usage) {
    return new ChatCompletion(
        "chatcmpl-" + request.id(), object, created, model, List.of(choice), usage);
  }

  private String finishReason() {
    return request.answerTokens() < limit ? "stop" : "length";
  }

  private static byte[] sse(int number, String data) {
    return String.format(Locale.ROOT, "id: %d\ndata: %s\n\n", number, data)
        .getBytes(StandardCharsets.UTF_8);
  }
}
