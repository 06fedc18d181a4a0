package io.samphiredyke.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class RetryTest {

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private final Backoff backoff = new Backoff(SECOND, 8 * SECOND, new Random(1));

  @Test
  void retriesAreBoundedToTheirShareOfRequests() {
    RetryBudget budget = new RetryBudget(0.1, 0, 10, 0);
    int retries = 0;
    for (int request = 0; request < 1_000; request++) {
      budget.requestStarted(0);
      retries += budget.tryRetry(0) ? 1 : 0;
    }
    assertThat(retries).isBetween(100, 111);
  }

  @Test
  void littleTrafficCanRetryAgainAfterSomeTime() {
    RetryBudget budget = new RetryBudget(0, 1, 1, 0);
    assertThat(budget.tryRetry(0)).isTrue();
    assertThat(budget.tryRetry(SECOND / 2)).isFalse();
    assertThat(budget.tryRetry(2 * SECOND)).isTrue();
  }

  @Test
  void circuitOpensAfterFailuresAndLetsOneProbeThrough() {
    CircuitBreaker circuit = new CircuitBreaker(2, SECOND, backoff);
    circuit.failed(0);
    assertThat(circuit.tryAcquire(0)).isTrue();
    circuit.failed(0);
    assertThat(circuit.tryAcquire(0)).isFalse();
    assertThat(circuit.tryAcquire(3 * SECOND)).isTrue();
    assertThat(circuit.state()).isEqualTo(CircuitBreaker.State.HALF_OPEN);
    assertThat(circuit.tryAcquire(3 * SECOND)).isFalse();
    circuit.succeeded();
    assertThat(circuit.tryAcquire(3 * SECOND)).isTrue();
  }

  @Test
  void waitsAreJitteredAndBounded() {
    for (int failures = 0; failures < 100; failures++) {
      assertThat(backoff.waitNanos(failures)).isBetween(0L, 8 * SECOND);
    }
    assertThat(backoff.spreadNanos(SECOND)).isBetween(SECOND / 2, 3 * SECOND / 2);
  }

  @Test
  void customerIsBoundToItsShareOfTheLimits() {
    CustomerLimits limits = new CustomerLimits();
    CustomerLimits.Limit limit = new CustomerLimits.Limit(4, 6_000);
    assertThat(limits.admit("c", limit, 2, 100, 0).admitted()).isTrue();
    assertThat(limits.admit("c", limit, 2, 100, 0).admitted()).isTrue();
    assertThat(limits.admit("c", limit, 2, 100, 0).admitted()).isFalse();
    limits.finished("c", 100, 5_900);
    CustomerLimits.Admission refused = limits.admit("c", limit, 2, 100, 0);
    assertThat(refused.admitted()).isFalse();
    assertThat(limits.admit("c", limit, 2, 100, refused.retryAfterNanos() + 1).admitted()).isTrue();
  }
}
