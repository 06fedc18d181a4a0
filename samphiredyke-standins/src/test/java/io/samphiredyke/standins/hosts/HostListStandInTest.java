package io.samphiredyke.standins.hosts;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.standins.server.StandInFixture;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HostListStandInTest {

  private final StandInFixture fixture = new StandInFixture();
  private final HostListStandIn list =
      HostListStandIn.start(
              fixture.runtime(),
              StandInFixture.ANY_PORT,
              List.of(new HostEntry("e1", "127.0.0.1:1", "entry", "dc1", "live")),
              Duration.ofSeconds(2))
          .join();

  @AfterEach
  void stop() {
    list.stop().join();
    fixture.close();
  }

  @Test
  void publishesChangesAfterLag() {
    list.put(new HostEntry("e1", "127.0.0.1:1", "entry", "dc1", "leaving")).join();
    fixture.advance(Duration.ofMillis(1_999));
    assertThat(hosts()).contains("\"state\":\"live\"");
    fixture.advance(Duration.ofMillis(1));
    while (hosts().contains("\"state\":\"live\"")) {
      Thread.onSpinWait();
    }
    assertThat(hosts())
        .isEqualTo(
            "{\"hosts\":[{\"name\":\"e1\",\"address\":\"127.0.0.1:1\",\"kind\":\"entry\","
                + "\"dataCentre\":\"dc1\",\"state\":\"leaving\"}]}");
  }

  private String hosts() {
    return fixture.get(list.address(), "/v1/hosts").join().text();
  }
}
