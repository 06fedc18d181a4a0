package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RequesterPathsTest {

  private static final long SECOND = 1_000_000_000;

  /** Requester of the fixture's requests. */
  private static final String HOST = "host";

  private final List<String> changes = new ArrayList<>();
  private final RequesterPaths paths =
      new RequesterPaths((requester, isLost) -> changes.add(requester + " " + isLost));

  private RequesterPath end(String endpoint, Outcome outcome, long now) {
    SlotRequest request = PoolSchedulerFixture.request(1, 0, 0, 1);
    return paths.ended(new RunningRequest(request, now, 0, 0, 0, 0, 0), endpoint, outcome, 3, now);
  }

  private void lose(long now) {
    paths.worked("other", now);
    for (int i = 0; i < 6; i++) {
      end("e" + i % 3, Outcome.FAILED, now);
    }
    assertThat(paths.isLost(HOST)).isTrue();
  }

  @Test
  void hostThatFailsWhereverItIsSentIsLostUntilItIsServed() {
    lose(0);
    end("e0", Outcome.WITHDRAWN, 1);
    assertThat(paths.isLost(HOST)).isTrue();
    end("e0", Outcome.SERVED, 2);
    assertThat(paths.isLost(HOST)).isFalse();
    assertThat(changes).containsExactly("host true", "host false");
  }

  @Test
  void hostIsNotLostWhileNoOtherIsServed() {
    paths.worked("other", 0);
    paths.worked(HOST, SECOND);
    for (int i = 0; i < 20; i++) {
      assertThat(end("e" + i % 3, Outcome.FAILED, 3 * SECOND)).isEqualTo(RequesterPath.SOUND);
    }
  }

  @Test
  void hostThatFailsAtOneEndpointOnlyIsNotLost() {
    paths.worked("other", 0);
    for (int i = 0; i < 20; i++) {
      assertThat(end("e0", Outcome.FAILED, 0)).isEqualTo(RequesterPath.SOUND);
    }
  }

  @Test
  void goneHostIsForgotten() {
    lose(0);
    paths.forget(HOST);
    assertThat(paths.failingCount()).isZero();
    assertThat(changes).containsExactly("host true", "host false");
  }
}
