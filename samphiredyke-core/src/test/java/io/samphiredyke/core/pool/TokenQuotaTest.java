package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.serving.CustomerSpec;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TokenQuotaTest {

  private static final long SECOND = 1_000_000_000L;

  private static CustomerSpec customer(long rate, long burst) {
    return new CustomerSpec("c", Set.of("k"), -1, rate, burst, true, 200);
  }

  /** Units granted in one window to a customer that asks for everything it can get. */
  private static long unitsInWindow(QuotaBucket quota, long from, int seconds, long request) {
    long units = 0;
    for (long t = from; t <= from + seconds * SECOND; t += SECOND / 100) {
      while (quota.take(request, t)) {
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
  void doesNotRefuseWhatLiesWithinTheQuota() {
    QuotaBucket quota = new QuotaBucket(customer(1_000, 1_000), 0, 0, 0);
    for (long t = 0; t < 100; t++) {
      assertThat(quota.take(100, t * SECOND / 10)).isTrue();
    }
  }

  @Test
  void bindsALowerLimitWithoutCreditFromBefore() {
    QuotaBucket quota = new QuotaBucket(customer(70_000, 70_000), 0, 0, 0);
    quota.update(customer(100, 100), SECOND);
    assertThat(unitsInWindow(quota, SECOND, 8, 50)).isLessThanOrEqualTo(100 + 800 + 50);
  }

  @Test
  void limitsNoCustomerWithoutRate() {
    QuotaBucket quota = new QuotaBucket(customer(0, 0), 0, 0, 0);
    assertThat(quota.take(1_000_000, 1)).isTrue();
    assertThat(quota.take(1_000_000, 1)).isTrue();
  }

  /** All hosts restart at 13 s of a day on which a customer asks for several times its quota. */
  @Test
  void hostsThatRestartTogetherKeepToOneQuota() {
    long rate = 230_000;
    long burst = 230_000;
    int hosts = 69;
    double allowed = (rate * 8 + burst) * 1.1 + 190_000;
    QuotaBucket before = new QuotaBucket(customer(rate, burst), 0.06, 114_000, 0);
    unitsInWindow(before, 0, 5, 4_000);
    long units = unitsInWindow(before, 5 * SECOND, 6, 4_000);
    for (int host = 0; host < hosts; host++) {
      QuotaBucket alone = new QuotaBucket(customer(rate, burst), 0.06, 114_000, 0);
      alone.share(1.0 / hosts, 0);
      alone.takeOver(0);
      units += unitsInWindow(alone, 0, 1, 4_000);
    }
    QuotaBucket chosen = new QuotaBucket(customer(rate, burst), 0.06, 114_000, 0);
    chosen.takeOver(0);
    units += unitsInWindow(chosen, 0, 1, 4_000);
    assertThat(units).isLessThanOrEqualTo((long) allowed);
  }

  /** Some callers in a row meet an empty bucket: each gets a turn of its own. */
  @Test
  void spreadsTheReturnsOfABriefExcess() {
    QuotaBucket quota = new QuotaBucket(customer(1_000, 1_000), 0, 0, 0);
    quota.use(1_000, 0);
    assertThat(quota.take(100, 0)).isFalse();
    long first = quota.millisUntilTurn(100, 0);
    long second = quota.millisUntilTurn(100, 0);
    long third = quota.millisUntilTurn(100, 0);
    assertThat(first).isEqualTo(100);
    assertThat(second).isEqualTo(200);
    assertThat(third).isEqualTo(300);
    for (long due : new long[] {first, second, third}) {
      assertThat(quota.take(100, due * SECOND / 1_000)).isTrue();
    }
  }

  /**
   * A customer that goes on asking for four times its quota: later callers are not called back at
   * once.
   */
  @Test
  void sendsCallersFurtherAwayUnderALastingExcess() {
    QuotaBucket quota = new QuotaBucket(customer(1_000, 1_000), 0, 0, 0);
    quota.use(1_000, 0);
    long last = 0;
    for (int i = 1; i <= 100; i++) {
      long now = i * SECOND / 40;
      last = quota.take(100, now) ? last : quota.millisUntilTurn(100, now);
    }
    assertThat(last).isGreaterThan(2_000);
  }
}
