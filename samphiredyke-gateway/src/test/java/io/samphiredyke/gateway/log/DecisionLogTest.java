package io.samphiredyke.gateway.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The limit of lines a second. */
@Timeout(30)
class DecisionLogTest {

  private static final int REQUESTS = 600;

  /** What 16 callers with a pause of 10 ms between two requests can be refused in a second. */
  private static final int REFUSALS = 1_600;

  /** Guards against refusals that are not logged because the host is busy with other requests. */
  @Test
  void refusalIsLoggedBesideMoreRoutineLinesThanAreWritten() throws InterruptedException {
    AtomicLong clock = new AtomicLong();
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    DecisionLog log = new DecisionLog(out, clock::get);
    for (int i = 0; i < REQUESTS; i++) {
      log.event("sent", "id", "a" + i);
    }
    log.event("refused", "id", "b1");
    clock.set(1_000);
    log.event("answered", "id", "b2");
    while (!out.toString(StandardCharsets.UTF_8).contains("\"b2\"")) {
      Thread.sleep(5);
    }
    assertThat(out.toString(StandardCharsets.UTF_8))
        .contains("\"refused\",\"id\":\"b1\"")
        .contains("\"log_dropped\",\"lines\":100}");
    assertThat(log.dropped()).isEqualTo(100);
  }

  /** Guards against refusals that are not logged because callers retry without a pause. */
  @Test
  void refusalsOfCallersThatRetryAtOnceAreLogged() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    DecisionLog log = new DecisionLog(out, () -> 0);
    for (int i = 0; i < REFUSALS; i++) {
      log.event("refused", "id", i);
    }
    log.close();
    assertThat(out.toString(StandardCharsets.UTF_8).lines()).hasSize(REFUSALS);
  }
}
