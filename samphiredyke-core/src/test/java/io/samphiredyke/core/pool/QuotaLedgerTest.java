package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class QuotaLedgerTest {

  private final QuotaLedger ledger = new QuotaLedger(8_000);

  @Test
  void tellsEachSchedulerOnceWhatOthersGranted() {
    ledger.add("c", 10, "a", 100);
    ledger.add("c", 5, "b", 200);
    ledger.add("d", 7, "a", 300);
    assertThat(ledger.newsFor("b", 400)).isEqualTo(Map.of("c", 10L, "d", 7L));
    assertThat(ledger.newsFor("b", 500)).isEmpty();
    ledger.add("c", 1, "a", 600);
    assertThat(ledger.newsFor("b", 700)).isEqualTo(Map.of("c", 1L));
    assertThat(ledger.newsFor("a", 700)).isEqualTo(Map.of("c", 5L));
  }

  @Test
  void forgetsWhatLiesBeforeTheWindow() {
    ledger.add("c", 10, "a", 100);
    assertThat(ledger.newsFor("b", 9_000)).isEmpty();
  }

  @Test
  void schedulerThatTakesOverStaysWithinTheQuota() {
    io.samphiredyke.core.serving.CustomerSpec customer =
        new io.samphiredyke.core.serving.CustomerSpec(
            "c", java.util.Set.of("k"), -1, 70_000, 70_000, true, 200);
    long second = 1_000_000_000L;
    double allowed = (70_000 * 8 + 70_000) * 1.1 + 190_000;
    TokenQuota first = new TokenQuota(customer, 0.06, 114_000, 0);
    TokenQuota second2 = new TokenQuota(customer, 0.06, 114_000, 0);
    long start = 20 * second;
    long granted = take(first, start, start + 4 * second);
    granted += take(second2, start + 4 * second, start + 4 * second + second / 2);
    second2.use(granted, start + 4 * second + second / 2);
    granted += take(second2, start + 4 * second + second / 2, start + 8 * second);
    assertThat((double) granted).isLessThanOrEqualTo(allowed);
  }

  private static long take(TokenQuota quota, long from, long until) {
    long units = 0;
    for (long t = from; t < until; t += 10_000_000) {
      while (quota.take(4_000, t)) {
        units += 4_000;
      }
    }
    return units;
  }
}
