package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.serving.CustomerSpec;
import java.util.Set;
import org.junit.jupiter.api.Test;

class QuotaBucketTest {

  private static final long SECOND = 1_000_000_000L;

  private static CustomerSpec customer(long rate, long burst) {
    return new CustomerSpec("c", Set.of("k"), -1, rate, burst, true, 200);
  }

  /** Returns the units granted in one window to a customer that uses all that it is granted. */
  private static long unitsInWindow(QuotaBucket quota, long from, int seconds, long request) {
    long units = 0;
    for (long t = from; t <= from + seconds * SECOND; t += SECOND / 100) {
      while (quota.tryTake(request, t)) {
        units += request;
      }
    }
    return units;
  }

  @Test
  void staysWithinTheToleratedUnitsInAnyWindow() {
    long rate = 70_000;
    long burst = 70_000;
    QuotaBucket quota = new QuotaBucket(customer(rate, burst), 0.06, 114_000, 0);
    double allowed = (rate * 8 + burst) * 1.1 + 190_000;
    assertThat(unitsInWindow(quota, 0, 8, 4_000)).isLessThanOrEqualTo((long) allowed);
    assertThat(unitsInWindow(quota, 8 * SECOND, 8, 4_000)).isLessThanOrEqualTo((long) allowed);
  }

  @Test
  void grantsRequestsWithinTheQuota() {
    QuotaBucket quota = new QuotaBucket(customer(1_000, 1_000), 0, 0, 0);
    for (long t = 0; t < 100; t++) {
      assertThat(quota.tryTake(100, t * SECOND / 10)).isTrue();
    }
  }

  @Test
  void lowerLimitAppliesWithoutEarlierCredit() {
    QuotaBucket quota = new QuotaBucket(customer(70_000, 70_000), 0, 0, 0);
    quota.update(customer(100, 100), SECOND);
    assertThat(unitsInWindow(quota, SECOND, 8, 50)).isLessThanOrEqualTo(100 + 800 + 50);
  }

  @Test
  void doesNotLimitACustomerWithoutRate() {
    QuotaBucket quota = new QuotaBucket(customer(0, 0), 0, 0, 0);
    assertThat(quota.tryTake(1_000_000, 1)).isTrue();
    assertThat(quota.tryTake(1_000_000, 1)).isTrue();
  }

  /** All hosts restart while a customer sends several times its quota, 13 s into its traffic. */
  @Test
  void hostsRestartingTogetherStayWithinOneQuota() {
    long rate = 230_000;
    long burst = 230_000;
    int hosts = 69;
    double allowed = (rate * 8 + burst) * 1.1 + 190_000;
    QuotaBucket beforeRestart = new QuotaBucket(customer(rate, burst), 0.06, 114_000, 0);
    unitsInWindow(beforeRestart, 0, 5, 4_000);
    long units = unitsInWindow(beforeRestart, 5 * SECOND, 6, 4_000);
    for (int host = 0; host < hosts; host++) {
      QuotaBucket isolated = new QuotaBucket(customer(rate, burst), 0.06, 114_000, 0);
      isolated.setCapacityShare(1.0 / hosts, 0);
      isolated.limitAfterTakeover(0);
      units += unitsInWindow(isolated, 0, 1, 4_000);
    }
    QuotaBucket takeover = new QuotaBucket(customer(rate, burst), 0.06, 114_000, 0);
    takeover.limitAfterTakeover(0);
    units += unitsInWindow(takeover, 0, 1, 4_000);
    assertThat(units).isLessThanOrEqualTo((long) allowed);
  }

  /** Several requests in a row find the bucket empty; each gets its own retry time. */
  @Test
  void spreadsRetriesOfABriefExcess() {
    QuotaBucket quota = new QuotaBucket(customer(1_000, 1_000), 0, 0, 0);
    quota.charge(1_000, 0);
    assertThat(quota.tryTake(100, 0)).isFalse();
    long first = quota.retryAfterMillis(100, 0);
    long second = quota.retryAfterMillis(100, 0);
    long third = quota.retryAfterMillis(100, 0);
    assertThat(first).isEqualTo(100);
    assertThat(second).isEqualTo(200);
    assertThat(third).isEqualTo(300);
    for (long due : new long[] {first, second, third}) {
      assertThat(quota.tryTake(100, due * SECOND / 1_000)).isTrue();
    }
  }

  /**
   * A customer keeps sending four times its quota; the retry times of later requests must grow, or
   * all of them would return at once.
   */
  @Test
  void retryTimeGrowsUnderASustainedExcess() {
    QuotaBucket quota = new QuotaBucket(customer(1_000, 1_000), 0, 0, 0);
    quota.charge(1_000, 0);
    long last = 0;
    for (int i = 1; i <= 100; i++) {
      long now = i * SECOND / 40;
      last = quota.tryTake(100, now) ? last : quota.retryAfterMillis(100, now);
    }
    assertThat(last).isGreaterThan(2_000);
  }
}
