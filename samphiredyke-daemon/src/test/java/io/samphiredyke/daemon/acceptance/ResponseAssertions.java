package io.samphiredyke.daemon.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.samphiredyke.daemon.testing.TestCluster;
import io.samphiredyke.net.codec.Json;
import io.samphiredyke.net.http.HttpResponse;
import io.samphiredyke.net.sse.SseDecoder;
import io.samphiredyke.net.sse.SseEvent;
import io.samphiredyke.standins.engine.CompletionText;
import io.samphiredyke.standins.engine.Prompt;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** Assertions about the responses that callers receive. */
final class ResponseAssertions {

  private static final int MAX_EVENT_BYTES = 65536;

  private ResponseAssertions() {}

  /** Asserts that a streamed response is complete, numbered from 1 and belongs to the request. */
  static void assertCompleteStream(HttpResponse response, String id, String prompt) {
    assertThat(response.status()).as(response.text()).isEqualTo(200);
    List<SseEvent> events = eventsOf(response.body());
    assertThat(events).isNotEmpty();
    for (int i = 0; i < events.size(); i++) {
      assertThat(events.get(i).id()).isEqualTo(Integer.toString(i + 1));
    }
    assertThat(events.get(events.size() - 1).isDone()).isTrue();
    assertCompleteText(textOf(events), id, prompt);
  }

  /** Asserts that the text of a response is complete and belongs to the request. */
  static void assertCompleteText(String text, String id, String prompt) {
    String digest = Prompt.digestOf("user\n" + prompt + "\n");
    assertThat(CompletionText.of(id, digest).match(text))
        .isEqualTo(CompletionText.MatchResult.WHOLE);
  }

  /** Asserts that a text is the end of the response to the request. */
  static void assertEndOfText(String text, String id, String prompt, int tokens) {
    String digest = Prompt.digestOf("user\n" + prompt + "\n");
    assertThat(text).isNotEmpty();
    assertThat(CompletionText.of(id, digest).fullText(tokens)).endsWith(text);
  }

  /** Asserts that the response of the plain service belongs to the request. */
  static void assertPlainResult(HttpResponse response, String id, String body) {
    assertThat(response.status()).as(response.text()).isEqualTo(200);
    JsonNode result = TestCluster.json(response);
    assertThat(result.path("digest").asText()).isEqualTo(Prompt.digestOf(body));
    assertThat(response.text()).contains(id);
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
