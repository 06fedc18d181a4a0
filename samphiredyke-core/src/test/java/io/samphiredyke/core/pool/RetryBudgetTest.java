package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RetryBudgetTest {

  @Test
  void retriesStayWithinTheRatioAndTheReserve() {
    RetryBudget budget = new RetryBudget(0.2, 52);
    int retries = 0;
    int firstAttempts = 1_000;
    for (int i = 0; i < firstAttempts; i++) {
      budget.requestStarted();
      retries += budget.tryRetry() ? 1 : 0;
    }
    assertThat(retries).isLessThanOrEqualTo((int) (firstAttempts * 0.2) + 52).isGreaterThan(200);
  }
}
