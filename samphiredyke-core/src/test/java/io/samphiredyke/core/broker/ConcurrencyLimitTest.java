package io.samphiredyke.core.broker;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ConcurrencyLimitTest {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long STEP = 500 * MILLI;

  private final ConcurrencyLimit limit = new ConcurrencyLimit(BrokerOptions.builder().build());
  private final Random random = new Random(1);
  private long now;

  /** Simulates a fully used engine whose token interval is affine in the number of streams. */
  private void run(int steps, double slowdown) {
    for (int step = 0; step < steps; step++) {
      now += STEP;
      double noise = 0.85 + 0.3 * random.nextDouble();
      long interval = (long) ((15 + limit.value()) * MILLI * slowdown * noise);
      limit.observe(new StreamSample(limit.value(), interval), limit.value(), now);
    }
  }

  @Test
  void limitConvergesToTheTargetWithoutOscillation() {
    run(60, 1);
    int lowest = Integer.MAX_VALUE;
    int highest = 0;
    for (int step = 0; step < 120; step++) {
      run(1, 1);
      lowest = Math.min(lowest, limit.value());
      highest = Math.max(highest, limit.value());
    }
    assertThat(lowest).isGreaterThan(26);
    assertThat(highest).isLessThan(46);
  }

  @Test
  void limitFollowsSlowdownWithinThreeSecondsAndRecoversWithinTen() {
    run(60, 1);
    run(6, 4);
    assertThat(limit.value()).isLessThan(10);
    run(60, 4);
    assertThat(limit.value()).isEqualTo(1);
    run(20, 1);
    assertThat(limit.value()).isGreaterThan(20);
  }
}
