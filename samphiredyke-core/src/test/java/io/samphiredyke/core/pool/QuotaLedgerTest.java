package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.serving.CustomerSpec;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class QuotaLedgerTest {

  private final QuotaLedger ledger = new QuotaLedger(8_000);

  @Test
  void reportsGrantsOfOthersToEachSchedulerOnce() {
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
  void dropsEntriesOlderThanTheWindow() {
    ledger.add("c", 10, "a", 100);
    assertThat(ledger.unreportedUsage("b", 9_000)).isEmpty();
  }

  @Test
  void takeoverStaysWithinTheQuota() {
    CustomerSpec customer = new CustomerSpec("c", Set.of("k"), -1, 70_000, 70_000, true, 200);
    long second = 1_000_000_000L;
    double allowed = (70_000 * 8 + 70_000) * 1.1 + 190_000;
    QuotaBucket previous = new QuotaBucket(customer, 0.075, 142_500, 0);
    QuotaBucket successor = new QuotaBucket(customer, 0.075, 142_500, 0);
    long start = 20 * second;
    long takeoverAt = start + 4 * second;
    long reportedAt = takeoverAt + second / 2;
    long granted = takeAll(previous, start, takeoverAt);
    successor.limitAfterTakeover(takeoverAt);
    long unreported = granted;
    granted += takeAll(successor, takeoverAt, reportedAt);
    successor.charge(unreported, reportedAt);
    granted += takeAll(successor, reportedAt, start + 8 * second);
    assertThat((double) granted).isLessThanOrEqualTo(allowed);
  }

  /**
   * A scheduler fails at any time of a quota window in which a customer uses all that it is
   * granted. The successor is told of the last half second, and only half a second after the
   * takeover.
   */
  @Test
  void takeoverAtAnyTimeStaysWithinTheQuota() {
    long second = 1_000_000_000L;
    for (long rate : new long[] {47_000, 70_000, 230_000}) {
      CustomerSpec customer = new CustomerSpec("c", Set.of("k"), -1, rate, rate, true, 200);
      double allowed = (rate * 8 + rate) * 1.1 + 190_000;
      for (long tenths = 5; tenths < 80; tenths += 5) {
        QuotaBucket previous = new QuotaBucket(customer, 0.06, 114_000, 0);
        QuotaBucket successor = new QuotaBucket(customer, 0.06, 114_000, 0);
        long start = 20 * second;
        long takeoverAt = start + tenths * second / 10;
        long granted = takeAll(previous, start, takeoverAt - second / 2);
        long unreported = takeAll(previous, takeoverAt - second / 2, takeoverAt);
        successor.limitAfterTakeover(takeoverAt);
        granted += unreported + takeAll(successor, takeoverAt, takeoverAt + second / 2);
        successor.charge(unreported, takeoverAt + second / 2);
        granted += takeAll(successor, takeoverAt + second / 2, start + 8 * second);
        assertThat((double) granted).as(rate + " at " + tenths).isLessThanOrEqualTo(allowed);
      }
    }
  }

  /** A customer at three fifths of its rate is not refused because of a takeover. */
  @Test
  void steadyCustomerIsNotRefusedAfterATakeover() {
    long rate = 70_000;
    long second = 1_000_000_000L;
    long request = 4_200;
    long interval = second / 10;
    CustomerSpec customer = new CustomerSpec("c", Set.of("k"), -1, rate, rate, true, 200);
    QuotaLedger ledgerOfHost = new QuotaLedger(second / 2);
    QuotaBucket successor = new QuotaBucket(customer, 0.06, 114_000, 0);
    long takeoverAt = 20 * second;
    for (long t = 10 * second; t < takeoverAt; t += interval) {
      ledgerOfHost.add("c", request, "before", t);
    }
    successor.limitAfterTakeover(takeoverAt);
    for (long t = takeoverAt; t < takeoverAt + 8 * second; t += interval) {
      if (t == takeoverAt + second / 2) {
        successor.charge(
            ledgerOfHost.unreportedUsage("after", takeoverAt).getOrDefault("c", 0L), t);
      }
      assertThat(successor.tryTake(request, t))
          .as("at %d ms", (t - takeoverAt) / 1_000_000)
          .isTrue();
    }
  }

  private static long takeAll(QuotaBucket quota, long from, long until) {
    long units = 0;
    for (long t = from; t < until; t += 10_000_000) {
      while (quota.tryTake(4_000, t)) {
        units += 4_000;
      }
    }
    return units;
  }
}
