package io.samphiredyke.standins.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.samphiredyke.net.http.ConnectionLostException;
import io.samphiredyke.net.http.HttpResponse;
import io.samphiredyke.standins.server.StandInFixture;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LogStandInTest {

  private static final String RECORDS = "/v1/streams/config/records";

  private final StandInFixture fixture = new StandInFixture();
  private final LogStandIn log =
      LogStandIn.start(
              fixture.runtime(),
              StandInFixture.ANY_PORT,
              new LogOptions(100, Duration.ofHours(1), 3))
          .join();

  @AfterEach
  void stop() {
    log.stop().join();
    fixture.close();
  }

  @Test
  void readsAppendedRecord() {
    assertThat(append("{\"a\":1}").text()).isEqualTo("{\"offset\":0}");
    assertThat(read("?from=0").text())
        .isEqualTo(
            "{\"first\":0,\"next\":1,\"records\":"
                + "[{\"offset\":0,\"time\":1000000,\"value\":{\"a\":1}}]}");
    assertThat(append("not JSON").status()).isEqualTo(400);
    assertThat(read("?from=x").status()).isEqualTo(400);
  }

  @Test
  void limitsAppendRateAndRefills() {
    for (int i = 0; i < 3; i++) {
      assertThat(append("1").status()).isEqualTo(200);
    }
    assertThat(append("1").status()).isEqualTo(429);
    fixture.advance(Duration.ofMillis(340));
    assertThat(append("1").status()).isEqualTo(200);
    assertThat(append("1").status()).isEqualTo(429);
  }

  @Test
  void appendTakesEffectWhenResponseIsLost() {
    setFaults("{\"loseAnswers\":1}");
    assertThatThrownBy(() -> append("7")).hasCauseInstanceOf(ConnectionLostException.class);
    assertThat(append("8").text()).isEqualTo("{\"offset\":1}");
    assertThat(log.records("config").join()).hasSize(2);
  }

  @Test
  void longPollReturnsNextRecord() {
    CompletableFuture<HttpResponse> poll =
        fixture.get(log.address(), RECORDS + "?from=0&waitMillis=60000");
    while (!fixture.get(log.address(), "/control/counts").join().text().contains("\"reads\":1")) {
      Thread.onSpinWait();
    }
    append("5");
    assertThat(poll.join().text()).contains("\"value\":5");
  }

  @Test
  void longPollReturnsEmptyPageOnTimeout() {
    CompletableFuture<HttpResponse> poll =
        fixture.get(log.address(), RECORDS + "?from=0&waitMillis=5000");
    while (!fixture.get(log.address(), "/control/counts").join().text().contains("\"reads\":1")) {
      Thread.onSpinWait();
    }
    fixture.advance(Duration.ofSeconds(5));
    assertThat(poll.join().text()).isEqualTo("{\"first\":0,\"next\":0,\"records\":[]}");
  }

  @Test
  void outageFailsAllRequestsExceptControl() {
    setFaults("{\"outage\":\"unavailable\"}");
    assertThat(append("1").status()).isEqualTo(503);
    setFaults("{\"outage\":\"refuse\"}");
    assertThatThrownBy(() -> read("?from=0")).hasCauseInstanceOf(ConnectionLostException.class);
    setFaults("{}");
    assertThat(read("?from=0").status()).isEqualTo(200);
  }

  private HttpResponse append(String body) {
    return fixture.post(log.address(), RECORDS, body).join();
  }

  private HttpResponse read(String query) {
    return fixture.get(log.address(), RECORDS + query).join();
  }

  private void setFaults(String json) {
    assertThat(fixture.post(log.address(), "/control/faults", json).join().status()).isEqualTo(200);
  }
}
