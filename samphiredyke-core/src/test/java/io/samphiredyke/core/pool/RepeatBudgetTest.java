package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RepeatBudgetTest {

  @Test
  void repeatsStayWithinTheShareOfFirstRequestsAndTheReserve() {
    RetryBudget budget = new RetryBudget(0.2, 52);
    int repeats = 0;
    int firsts = 1_000;
    for (int i = 0; i < firsts; i++) {
      budget.first();
      repeats += budget.takeRepeat() ? 1 : 0;
    }
    assertThat(repeats).isLessThanOrEqualTo((int) (firsts * 0.2) + 52).isGreaterThan(200);
  }
}
