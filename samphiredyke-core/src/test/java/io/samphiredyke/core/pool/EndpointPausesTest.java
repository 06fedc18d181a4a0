package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.serving.EndpointRecord;
import java.util.List;
import org.junit.jupiter.api.Test;

class EndpointPausesTest {

  private final EndpointPauses pauses = new EndpointPauses();

  private static EndpointRecord endpoint(String id, long startedAt) {
    return new EndpointRecord(id, "s", "10.0.0.1:80", "a", 4, false, 0, startedAt, 1);
  }

  @Test
  void laterEndHolds() {
    assertThat(pauses.pause(endpoint("e", 1), 100)).isTrue();
    assertThat(pauses.pause(endpoint("e", 1), 50)).isFalse();
    assertThat(pauses.isPaused(endpoint("e", 1), 99)).isTrue();
    assertThat(pauses.isPaused(endpoint("e", 1), 100)).isFalse();
  }

  @Test
  void newInstanceIsNotPaused() {
    pauses.pause(endpoint("e", 1), 100);
    assertThat(pauses.isPaused(endpoint("e", 2), 10)).isFalse();
    assertThat(pauses.pause(endpoint("e", 2), 50)).isTrue();
  }

  @Test
  void firstEndIsNowUnlessAllArePaused() {
    List<EndpointRecord> both = List.of(endpoint("e", 1), endpoint("f", 1));
    pauses.pause(both.get(0), 100);
    assertThat(pauses.firstEnd(both, 10)).isEqualTo(10);
    assertThat(pauses.pausedOf(both, 10)).containsExactly("e");
    pauses.pause(both.get(1), 80);
    assertThat(pauses.firstEnd(both, 10)).isEqualTo(80);
    assertThat(pauses.firstEnd(List.of(), 10)).isEqualTo(10);
    pauses.expire(90);
    assertThat(pauses.size()).isEqualTo(1);
  }
}
