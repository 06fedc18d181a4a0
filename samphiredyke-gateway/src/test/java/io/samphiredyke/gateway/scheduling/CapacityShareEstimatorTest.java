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

  @Test
  void singleHostGrantsTheFullQuota() {
    assertThat(estimator.estimate(hosts(1), 0)).isEqualTo(1);
  }
}
