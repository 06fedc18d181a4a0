package io.samphiredyke.standins.plain;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.samphiredyke.net.http.ConnectionLostException;
import io.samphiredyke.net.http.HttpResponse;
import io.samphiredyke.standins.server.StandInFixture;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PlainStandInTest {

  private static final Duration LATENCY = Duration.ofMillis(50);

  private final StandInFixture fixture = new StandInFixture();
  private final PlainStandIn service =
      PlainStandIn.start(
              fixture.runtime(),
              StandInFixture.ANY_PORT,
              new PlainSettings("permits-1", "dc1", LATENCY, 1))
          .join();

  @AfterEach
  void stop() {
    service.stop().join();
    fixture.close();
  }

  @Test
  void countsEachEffectOfRetriedId() {
    assertThat(finish(call("t.1")).text()).contains("\"effect\":1");
    assertThat(finish(call("t.1")).text()).contains("\"effect\":2");
    assertThat(counts()).contains("\"requests\":{\"t.1\":2}");
  }

  @Test
  void reportsRunningThenFinishedResult() {
    assertThat(result("t.1").status()).isEqualTo(404);
    CompletableFuture<HttpResponse> call = call("t.1");
    while (result("t.1").status() != 202) {
      Thread.onSpinWait();
    }
    HttpResponse response = finish(call);
    assertThat(result("t.1").text()).isEqualTo(response.text());
  }

  @Test
  void callTakesEffectWhenResponseIsLost() {
    fixture.post(service.address(), "/control/faults", "{\"loseAnswers\":1}").join();
    assertThatThrownBy(() -> finish(call("t.1"))).hasCauseInstanceOf(ConnectionLostException.class);
    assertThat(result("t.1").status()).isEqualTo(200);
    assertThat(counts()).contains("\"t.1\":1");
  }

  @Test
  void rejectedCallHasNoEffect() {
    fixture.post(service.address(), "/control/faults", "{\"rejectStatus\":503}").join();
    assertThat(call("t.1").join().status()).isEqualTo(503);
    assertThat(counts()).contains("\"effects\":0,");
  }

  @Test
  void queuesCallsBeyondConcurrency() {
    CompletableFuture<HttpResponse> first = call("t.1");
    awaitCounts("\"running\":1,\"waiting\":0");
    CompletableFuture<HttpResponse> second = call("t.2");
    awaitCounts("\"running\":1,\"waiting\":1");
    finish(first);
    awaitCounts("\"running\":1,\"waiting\":0");
    finish(second);
  }

  private CompletableFuture<HttpResponse> call(String id) {
    return fixture.post(service.address(), "/permits/void", "{}", Map.of("idempotency-key", id));
  }

  private HttpResponse finish(CompletableFuture<HttpResponse> call) {
    awaitCounts("\"running\":1");
    fixture.advance(LATENCY);
    return call.join();
  }

  private HttpResponse result(String id) {
    return fixture.get(service.address(), "/v1/results/" + id).join();
  }

  private String counts() {
    return fixture.get(service.address(), "/control/counts").join().text();
  }

  private void awaitCounts(String expected) {
    while (!counts().contains(expected)) {
      Thread.onSpinWait();
    }
  }
}
