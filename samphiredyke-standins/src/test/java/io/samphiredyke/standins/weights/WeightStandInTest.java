package io.samphiredyke.standins.weights;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.net.http.HttpResponse;
import io.samphiredyke.standins.server.StandInFixture;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class WeightStandInTest {

  private static final int CHUNK_BYTES = 65_536;

  private final StandInFixture fixture = new StandInFixture();
  private final WeightStandIn store =
      WeightStandIn.start(
              fixture.runtime(),
              StandInFixture.ANY_PORT,
              new WeightSettings(CHUNK_BYTES, 0, Map.of("m@1", 2L * CHUNK_BYTES)))
          .join();

  @AfterEach
  void stop() {
    store.stop().join();
    fixture.close();
  }

  @Test
  void limitsDownloadRate() {
    CompletableFuture<HttpResponse> download = fixture.get(store.address(), "/v1/weights/m/1");
    awaitCounts("\"downloads\":1");
    fixture.advance(Duration.ofMillis(999));
    assertThat(counts()).contains("\"bytesSent\":0}");
    fixture.advance(Duration.ofMillis(1));
    awaitCounts("\"bytesSent\":65536}");
    fixture.advance(Duration.ofSeconds(1));
    assertThat(download.join().body()).hasSize(2 * CHUNK_BYTES);
  }

  @Test
  void respondsNotFoundForUnknownWeights() {
    assertThat(fixture.get(store.address(), "/v1/weights/m/2").join().status()).isEqualTo(404);
  }

  private String counts() {
    return fixture.get(store.address(), "/control/counts").join().text();
  }

  private void awaitCounts(String expected) {
    while (!counts().contains(expected)) {
      Thread.onSpinWait();
    }
  }
}
