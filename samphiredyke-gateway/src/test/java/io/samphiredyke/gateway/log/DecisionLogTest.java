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
}
