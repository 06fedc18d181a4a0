package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.serving.CustomerSpec;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class QuotaLedgerTest {

  private final QuotaLedger ledger = new QuotaLedger(8_000);

  @Test
  void tellsEachSchedulerOnceWhatOthersGranted() {
    ledger.add("c", 10, "a", 100);
    ledger.add("c", 5, "b", 200);
    ledger.add("d", 7, "a", 300);
    assertThat(ledger.unreportedUsage("b", 400)).isEqualTo(Map.of("c", 10L, "d", 7L));
    assertThat(ledger.unreportedUsage("b", 500)).isEmpty();
    ledger.add("c", 1, "a", 600);
    assertThat(ledger.unreportedUsage("b", 700)).isEqualTo(Map.of("c", 1L));
    assertThat(ledger.unreportedUsage("a", 700)).isEqualTo(Map.of("c", 5L));
  }

  @Test
  void forgetsWhatLiesBeforeTheWindow() {
    ledger.add("c", 10, "a", 100);
    assertThat(ledger.unreportedUsage("b", 9_000)).isEmpty();
  }

  @Test
  void schedulerThatTakesOverStaysWithinTheQuota() {
    CustomerSpec customer = new CustomerSpec("c", Set.of("k"), -1, 70_000, 70_000, true, 200);
    long second = 1_000_000_000L;
    double allowed = (70_000 * 8 + 70_000) * 1.1 + 190_000;
    QuotaBucket before = new QuotaBucket(customer, 0.075, 142_500, 0);
    QuotaBucket after = new QuotaBucket(customer, 0.075, 142_500, 0);
    long start = 20 * second;
    long handOver = start + 4 * second;
    long reported = handOver + second / 2;
    long granted = take(before, start, handOver);
    after.takeOver(handOver);
    long unreported = granted;
    granted += take(after, handOver, reported);
    after.use(unreported, reported);
    granted += take(after, reported, start + 8 * second);
    assertThat((double) granted).isLessThanOrEqualTo(allowed);
  }

  /**
   * A scheduler falls silent at any moment of a window in which a customer asks for all it gets.
   */
  @Test
  void takeOverWithTheLastHalfSecondReportedStaysWithinTheQuota() {
    long second = 1_000_000_000L;
    for (long rate : new long[] {47_000, 70_000, 230_000}) {
      CustomerSpec customer = new CustomerSpec("c", Set.of("k"), -1, rate, rate, true, 200);
      double allowed = (rate * 8 + rate) * 1.1 + 190_000;
      for (long tenths = 5; tenths < 80; tenths += 5) {
        QuotaBucket before = new QuotaBucket(customer, 0.06, 114_000, 0);
        QuotaBucket after = new QuotaBucket(customer, 0.06, 114_000, 0);
        long start = 20 * second;
        long handOver = start + tenths * second / 10;
        long granted = take(before, start, handOver - second / 2);
        long unreported = take(before, handOver - second / 2, handOver);
        after.takeOver(handOver);
        granted += unreported + take(after, handOver, handOver + second / 2);
        after.use(unreported, handOver + second / 2);
        granted += take(after, handOver + second / 2, start + 8 * second);
        assertThat((double) granted).as(rate + " at " + tenths).isLessThanOrEqualTo(allowed);
      }
    }
  }

  /** A customer that stays at three fifths of its rate is not refused because of a take-over. */
  @Test
  void steadyCustomerIsServedOnAfterATakeOver() {
    long rate = 70_000;
    long second = 1_000_000_000L;
    long request = 4_200;
    long interval = second / 10;
    CustomerSpec customer = new CustomerSpec("c", Set.of("k"), -1, rate, rate, true, 200);
    QuotaLedger owner = new QuotaLedger(second / 2);
    QuotaBucket after = new QuotaBucket(customer, 0.06, 114_000, 0);
    long handOver = 20 * second;
    for (long t = 10 * second; t < handOver; t += interval) {
      owner.add("c", request, "before", t);
    }
    after.takeOver(handOver);
    for (long t = handOver; t < handOver + 8 * second; t += interval) {
      if (t == handOver + second / 2) {
        after.use(owner.unreportedUsage("after", handOver).getOrDefault("c", 0L), t);
      }
      assertThat(after.take(request, t)).as("at %d ms", (t - handOver) / 1_000_000).isTrue();
    }
  }

  private static long take(QuotaBucket quota, long from, long until) {
    long units = 0;
    for (long t = from; t < until; t += 10_000_000) {
      while (quota.take(4_000, t)) {
        units += 4_000;
      }
    }
    return units;
  }
}
