package io.samphiredyke.gateway.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.membership.Member;
import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Capacity shares of hosts that see only a part of the group. */
class CapacityShareEstimatorTest {

  private static final long SECOND = 1_000_000_000L;

  private final CapacityShareEstimator estimator =
      new CapacityShareEstimator(Duration.ofSeconds(8));

  private static List<Member> hosts(int count) {
    return IntStream.range(0, count)
        .mapToObj(i -> Member.builder().name("host-" + i).address(address(i)).build())
        .toList();
  }

  private static String address(int host) {
    return "10.0.0." + host + ":7600";
  }

  private void register(int count) {
    estimator.addRegistered(
        IntStream.range(0, count).mapToObj(CapacityShareEstimatorTest::address).toList());
  }

  @Test
  void isolatedHostGrantsOnlyItsShare() {
    register(69);
    assertThat(estimator.estimate(hosts(1), 0)).isEqualTo(1.0 / 69);
  }

  @Test
  void halfOfTheGroupGrantsTheFullQuota() {
    register(6);
    assertThat(estimator.estimate(hosts(3), 0)).isEqualTo(1);
    assertThat(estimator.estimate(hosts(2), 0)).isEqualTo(2.0 / 6);
  }

  @Test
  void ignoresHostsThatHaveBeenDeadForLong() {
    register(6);
    for (int host = 1; host < 6; host++) {
      estimator.markUnreachable(address(host), 0);
    }
    assertThat(estimator.estimate(hosts(1), SECOND)).isEqualTo(1.0 / 6);
    assertThat(estimator.estimate(hosts(1), 9 * SECOND)).isEqualTo(1);
  }

  @Test
  void deadHostsCountForTheQuotaWindow() {
    CapacityShareEstimator longWindow = new CapacityShareEstimator(Duration.ofSeconds(20));
    longWindow.addRegistered(List.of(address(0), address(1), address(2)));
    longWindow.markUnreachable(address(1), 0);
    longWindow.markUnreachable(address(2), 0);
    assertThat(longWindow.estimate(hosts(1), 9 * SECOND)).isEqualTo(1.0 / 3);
    assertThat(longWindow.estimate(hosts(1), 21 * SECOND)).isEqualTo(1);
  }

  /** Guards against hosts that count removed ones as cut off for as long as they run. */
  @Test
  void hostsThatWereNeverSeenCountForTheQuotaWindow() {
    register(6);
    for (int second = 0; second <= 8; second++) {
      assertThat(estimator.estimate(hosts(1), second * SECOND)).isEqualTo(1.0 / 6);
    }
    assertThat(estimator.estimate(hosts(1), 9 * SECOND)).isEqualTo(1);
    register(6);
    assertThat(estimator.estimate(hosts(1), 10 * SECOND)).isEqualTo(1);
  }

  @Test
  void pausesOfThisProcessDoNotCount() {
    register(6);
    for (int second : new int[] {0, 60, 61, 62, 63, 64, 65, 66}) {
      estimator.tick(second * SECOND);
      assertThat(estimator.estimate(hosts(1), second * SECOND)).isEqualTo(1.0 / 6);
    }
    estimator.tick(67 * SECOND);
    assertThat(estimator.estimate(hosts(1), 67 * SECOND)).isEqualTo(1);
  }

  @Test
  void hostThatReturnsAndIsLostAgainCountsAnew() {
    register(6);
    for (int second = 0; second <= 10; second++) {
      estimator.estimate(hosts(1), second * SECOND);
    }
    assertThat(estimator.estimate(hosts(6), 11 * SECOND)).isEqualTo(1);
    assertThat(estimator.estimate(hosts(1), 12 * SECOND)).isEqualTo(1.0 / 6);
  }

  @Test
  void singleHostGrantsTheFullQuota() {
    assertThat(estimator.estimate(hosts(1), 0)).isEqualTo(1);
  }
}
