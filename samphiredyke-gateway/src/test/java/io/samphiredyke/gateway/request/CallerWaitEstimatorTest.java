package io.samphiredyke.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class CallerWaitEstimatorTest {

  private static final long USUAL_MILLIS = 8_000;

  private final CallerWaitEstimator estimator = new CallerWaitEstimator();
  private final SplittableRandom random = new SplittableRandom(3);

  private long freshMillis() {
    return USUAL_MILLIS - random.nextLong(USUAL_MILLIS * 15 / 100);
  }

  @Test
  void firstAttemptsHaveNotWaitedAlthoughCallersDiffer() {
    for (int i = 0; i < 500; i++) {
      assertThat(estimator.waitedMillis("r", freshMillis())).isZero();
    }
  }

  @Test
  void recognizesReturningCallersInAFloodOfThem() {
    for (int i = 0; i < 50; i++) {
      estimator.waitedMillis("r", freshMillis());
    }
    for (int i = 0; i < 500; i++) {
      boolean isReturn = random.nextInt(10) < 4;
      long waited = estimator.waitedMillis("r", isReturn ? freshMillis() - 2_600 : freshMillis());
      assertThat(waited > 1_000).isEqualTo(isReturn);
    }
  }

  @Test
  void routesAreLearnedSeparately() {
    estimator.waitedMillis("long", 15_000);
    assertThat(estimator.waitedMillis("short", 600)).isZero();
  }

  @Test
  void callersWithoutStatedTimeHaveNotWaited() {
    estimator.waitedMillis("r", 8_000);
    assertThat(estimator.waitedMillis("r", -1)).isZero();
  }
}
