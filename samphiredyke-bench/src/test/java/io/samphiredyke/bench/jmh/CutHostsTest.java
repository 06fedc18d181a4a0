package io.samphiredyke.bench.jmh;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CutHostsTest {

  private static int messagesIn(CutHosts run, int second) {
    run.runUntilSecond(second - 1);
    int before = run.messages();
    run.runUntilSecond(second);
    return run.messages() - before;
  }

  @ParameterizedTest
  @ValueSource(strings = {"300:69:0:0:0", "300:69:60:0:0", "300:300:100:0:20"})
  void measuredStateIsReached(String size) {
    CutHosts run = CutHosts.parse(size);
    run.fill();
    assertThat(run.scheduler().waitingCount("s")).isBetween(720, 800);
  }

  @Test
  void lostPathsAddNoMessages() {
    CutHosts run = CutHosts.parse("300:300:100:0:0");
    run.cutAtSecond(3);
    run.start();
    int before = messagesIn(run, 3);
    assertThat(before).as("submissions, grants, releases").isBetween(6_700, 6_800);
    for (int second = 4; second < 10; second++) {
      assertThat(messagesIn(run, second)).isLessThanOrEqualTo(before);
    }
  }
}
