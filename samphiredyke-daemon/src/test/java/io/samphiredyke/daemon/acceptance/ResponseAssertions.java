package io.samphiredyke.daemon.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.samphiredyke.daemon.testing.TestCluster;
import io.samphiredyke.net.codec.Json;
import io.samphiredyke.net.http.HttpResponse;
import io.samphiredyke.net.sse.SseDecoder;
import io.samphiredyke.net.sse.SseEvent;
import io.samphiredyke.standins.engine.AnswerText;
import io.samphiredyke.standins.engine.Prompt;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** Checks of what a caller got. */
final class ResponseAssertions {

  private static final int MAX_EVENT_BYTES = 65536;

  private ResponseAssertions() {}

  /** Checks that a streamed answer is whole, without gaps from an event on, and of the request. */
  static void isWholeStream(HttpResponse answer, String id, String prompt) {
    assertThat(answer.status()).as(answer.text()).isEqualTo(200);
    List<SseEvent> events = eventsOf(answer.body());
    assertThat(events).isNotEmpty();
    for (int i = 0; i < events.size(); i++) {
      assertThat(events.get(i).id()).isEqualTo(Integer.toString(i + 1));
    }
    assertThat(events.get(events.size() - 1).isDone()).isTrue();
    isText(textOf(events), id, prompt);
  }

  /** Checks a text that a client put together. */
  static void isText(String text, String id, String prompt) {
    String digest = Prompt.digestOf("user\n" + prompt + "\n");
    assertThat(AnswerText.of(id, digest).check(text)).isEqualTo(AnswerText.Verdict.WHOLE);
  }

  /** Checks that a text is the end of the request's answer. */
  static void isEndOfText(String text, String id, String prompt, int tokens) {
    String digest = Prompt.digestOf("user\n" + prompt + "\n");
    assertThat(text).isNotEmpty();
    assertThat(AnswerText.of(id, digest).whole(tokens)).endsWith(text);
  }

  /** Checks that the answer of the plain service is the one to the request, its first effect. */
  static void isResult(HttpResponse answer, String id, String body) {
    assertThat(answer.status()).as(answer.text()).isEqualTo(200);
    JsonNode result = TestCluster.json(answer);
    assertThat(result.path("digest").asText()).isEqualTo(Prompt.digestOf(body));
    assertThat(answer.text()).contains(id);
  }

  static List<SseEvent> eventsOf(byte[] body) {
    List<SseEvent> events = new ArrayList<>();
    new SseDecoder(MAX_EVENT_BYTES).feed(body, events::add);
    return events;
  }

  static String textOf(List<SseEvent> events) {
    StringBuilder text = new StringBuilder();
    for (SseEvent event : events) {
      if (!event.isDone()) {
        text.append(deltaOf(event));
      }
    }
    return text.toString();
  }

  private static String deltaOf(SseEvent event) {
    try {
      JsonNode chunk = Json.mapper().readTree(event.data());
      return chunk.path("choices").path(0).path("delta").path("content").asText();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
