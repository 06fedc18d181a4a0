package io.samphiredyke.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RunTimeEstimatorTest {

  private static final String ROUTE = "plain";

  private final RunTimeEstimator estimator = new RunTimeEstimator();

  @Test
  void routeWithoutObservationsHasNoBound() {
    assertThat(estimator.upperMillis(ROUTE)).isZero();
    assertThat(estimator.slowestMillis(ROUTE)).isInfinite();
  }

  /** Guards against late requests that are cut off because they run longer than any before. */
  @Test
  void slowestTimeExceedsASlowRunOfSomeTimeAgo() {
    estimator.observe(ROUTE, 3_000);
    for (int i = 0; i < 30; i++) {
      estimator.observe(ROUTE, 10);
    }
    assertThat(estimator.upperMillis(ROUTE)).isLessThan(1_000);
    assertThat(estimator.slowestMillis(ROUTE)).isGreaterThan(4_200);
  }
}
