package io.samphiredyke.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import io.samphiredyke.net.http.ConnectionLostException;
import io.samphiredyke.net.http.HttpRequest;
import io.samphiredyke.net.http.HttpResponse;
import io.samphiredyke.standins.server.StandInFixture;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class EngineStandInTest {

  private static final String CHAT = "/v1/chat/completions";
  private static final String PROMPT_TEXT = "user\nIs the ledge open?\n";
  private static final Duration LONGER_THAN_ANY_RESPONSE = Duration.ofSeconds(20);

  private final StandInFixture fixture = new StandInFixture();
  private final EngineStandIn engine =
      EngineStandIn.start(
              fixture.runtime(),
              StandInFixture.ANY_PORT,
              EngineSettings.builder()
                  .models(List.of("m"))
                  .options(EngineOptions.builder().blockTokens(2).build())
                  .cacheEventLoss(0)
                  .resumeWindow(Duration.ofMinutes(1))
                  .loadTime(Duration.ofSeconds(5))
                  .build())
          .join();
  private final InetSocketAddress address = engine.address();

  @AfterEach
  void stop() {
    engine.stop().join();
    fixture.close();
  }

  @Test
  void streamsAllTokensAndEndMarker() throws Exception {
    CompletableFuture<HttpResponse> response = chat("t.1", 3, true);
    awaitExecutions(1);
    fixture.advance(LONGER_THAN_ANY_RESPONSE);
    List<String> events = List.of(response.join().text().split("\n\n"));
    assertThat(events).hasSize(4);
    assertThat(events.get(0)).startsWith("id: 1\ndata: {\"id\":\"chatcmpl-t.1\"");
    assertThat(events.get(2)).contains("\"finish_reason\":\"length\"");
    assertThat(events.get(3)).isEqualTo("id: 4\ndata: [DONE]");
  }

  /**
   * Reading the counts runs the steps that are due, possibly before their timer fires on a busy
   * machine. The following step must then still be scheduled.
   */
  @Test
  void continuesWhenCountsAreReadBeforeStepTimerFires() throws Exception {
    CompletableFuture<HttpResponse> response = chat("t.1", 40, true);
    awaitExecutions(1);
    for (int i = 0; i < 100; i++) {
      fixture.advance(Duration.ofMillis(5));
      counts();
    }
    fixture.advance(LONGER_THAN_ANY_RESPONSE);
    assertThat(response.orTimeout(10, TimeUnit.SECONDS).join().text()).endsWith("[DONE]\n\n");
  }

  @Test
  void nonStreamingResponseMatchesRequest() throws Exception {
    CompletableFuture<HttpResponse> response = chat("t.1", 5, false);
    awaitExecutions(1);
    fixture.advance(LONGER_THAN_ANY_RESPONSE);
    String text = response.join().json(JsonNode.class).at("/choices/0/message/content").textValue();
    CompletionText expected = CompletionText.of("t.1", Prompt.digestOf(PROMPT_TEXT));
    assertThat(expected.match(text)).isEqualTo(CompletionText.MatchResult.WHOLE);
  }

  @Test
  void resumesAbortedStreamByIdAndOffset() throws Exception {
    setFaults("{\"cutAfterTokens\":2}");
    CompletableFuture<HttpResponse> response = chat("t.1", 4, true);
    awaitExecutions(1);
    fixture.advance(LONGER_THAN_ANY_RESPONSE);
    assertThatThrownBy(response::join).hasCauseInstanceOf(ConnectionLostException.class);
    setFaults("{}");
    HttpRequest resume =
        HttpRequest.get(address, "/v1/requests/t.1/stream").header("last-event-id", "2").build();
    String rest = fixture.client().send(resume).join().text();
    assertThat(rest.split("\n\n")).hasSize(3);
    assertThat(rest).startsWith("id: 3\n").endsWith("id: 5\ndata: [DONE]\n\n");
    assertThat(counts().at("/requests/t.1/executions").longValue()).isEqualTo(1);
  }

  @Test
  void countsUnreadCompletionAsWastedAfterResumeWindow() throws Exception {
    setFaults("{\"cutAfterTokens\":1}");
    CompletableFuture<HttpResponse> response = chat("t.1", 4, true);
    awaitExecutions(1);
    fixture.advance(LONGER_THAN_ANY_RESPONSE);
    assertThatThrownBy(response::join).hasCauseInstanceOf(ConnectionLostException.class);
    long prefilled = counts().at("/total/prefilledTokens").longValue();
    while (counts().at("/total/wastedPrefillTokens").longValue() != prefilled) {
      fixture.advance(Duration.ofSeconds(30));
    }
    assertThat(prefilled).isPositive();
    assertThat(fixture.get(address, "/v1/requests/t.1/stream").join().status()).isEqualTo(404);
  }

  @Test
  void silencesOpenConnectionsButServesNewOnes() throws Exception {
    HttpRequest request = chatRequest("t.1", 3, true).timeout(Duration.ofMillis(300)).build();
    CompletableFuture<HttpResponse> silent = fixture.client().send(request);
    awaitExecutions(1);
    setFaults("{\"silenceOpenConnections\":true}");
    fixture.advance(LONGER_THAN_ANY_RESPONSE);
    assertThatThrownBy(silent::join).hasCauseInstanceOf(ConnectionLostException.class);
    HttpRequest resume = HttpRequest.get(address, "/v1/requests/t.1/stream").build();
    assertThat(fixture.newClient().send(resume).join().text()).endsWith("[DONE]\n\n");
  }

  @Test
  void crashDropsStreams() throws Exception {
    CompletableFuture<HttpResponse> response = chat("t.1", 1_000, true);
    awaitExecutions(1);
    setFaults("{\"crash\":true}");
    assertThatThrownBy(response::join).hasCauseInstanceOf(ConnectionLostException.class);
    assertThat(fixture.get(address, "/v1/requests/t.1/stream").join().status()).isEqualTo(404);
    assertThat(counts().at("/total/cancelled").longValue()).isEqualTo(1);
  }

  @Test
  void rejectsWithoutExecution() throws Exception {
    setFaults("{\"rejectStatus\":503}");
    assertThat(chat("t.1", 1, true).join().status()).isEqualTo(503);
    assertThat(counts().at("/total/executions").longValue()).isZero();
  }

  @Test
  void rejectsUnknownFaultSwitch() {
    HttpResponse response = fixture.post(address, "/control/faults", "{\"slow\":2}").join();
    assertThat(response.status()).isEqualTo(400);
    assertThat(response.text()).contains("slow");
  }

  @Test
  void refusesOldFenceAndLoadsModelAfterLoadTime() throws Exception {
    assertThat(order("load", "n", 7).status()).isEqualTo(202);
    assertThat(order("load", "n", 6).status()).isEqualTo(409);
    assertThat(order("load", "n", 7).text()).contains("\"status\":\"loading\"");
    fixture.advance(Duration.ofSeconds(5));
    awaitText("/v1/state", "{\"model\":\"n\",\"version\":\"1\",\"status\":\"loaded\"}");
  }

  @Test
  void importsExportedBlocks() throws Exception {
    CompletableFuture<HttpResponse> response = chat("t.1", 1, false);
    awaitExecutions(1);
    fixture.advance(LONGER_THAN_ANY_RESPONSE);
    response.join();
    JsonNode events = json("/v1/cache/events?after=0").get("events");
    String block = events.get(events.size() - 1).get("block").textValue();
    CompletableFuture<HttpResponse> export = fixture.get(address, "/v1/cache/export/" + block);
    assertThat(fixture.get(address, "/v1/cache/export/1").join().status()).isEqualTo(404);
    advanceUntilDone(export);
    CompletableFuture<HttpResponse> imported =
        fixture.post(address, "/v1/cache/import", export.join().text());
    advanceUntilDone(imported);
    assertThat(imported.join().text()).isEqualTo("{\"blocks\":" + events.size() + "}");
  }

  private HttpResponse order(String kind, String model, long fence) {
    String body = "{\"kind\":\"" + kind + "\",\"model\":\"" + model + "\",\"fence\":" + fence + "}";
    return fixture.post(address, "/v1/orders", body).join();
  }

  private CompletableFuture<HttpResponse> chat(String id, int tokens, boolean stream) {
    return fixture.client().send(chatRequest(id, tokens, stream).build());
  }

  private HttpRequest.Builder chatRequest(String id, int tokens, boolean stream) {
    String body =
        "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"Is the ledge open?\"}],"
            + "\"max_tokens\":"
            + tokens
            + ",\"stream\":"
            + stream
            + "}";
    return HttpRequest.post(address, CHAT, body.getBytes(StandardCharsets.UTF_8))
        .header("idempotency-key", id);
  }

  private void setFaults(String json) {
    assertThat(fixture.post(address, "/control/faults", json).join().status()).isEqualTo(200);
  }

  private JsonNode counts() throws Exception {
    return json("/control/counts");
  }

  private JsonNode json(String path) throws Exception {
    return fixture.get(address, path).join().json(JsonNode.class);
  }

  /**
   * Advances the clock until the response arrives, because the time of the request's arrival
   * varies.
   */
  private void advanceUntilDone(CompletableFuture<HttpResponse> response) {
    while (!response.isDone()) {
      fixture.advance(LONGER_THAN_ANY_RESPONSE);
      Thread.onSpinWait();
    }
  }

  private void awaitExecutions(long executions) throws Exception {
    while (counts().at("/total/executions").longValue() < executions) {
      Thread.onSpinWait();
    }
  }

  private void awaitText(String path, String text) {
    while (!fixture.get(address, path).join().text().contains(text)) {
      Thread.onSpinWait();
    }
  }
}
