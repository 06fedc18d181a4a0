package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LimitedEndpointsTest {

  private static final double HOLD_MILLIS = 500;

  private final LimitedEndpoints limited = new LimitedEndpoints();

  private static IndexedEndpoint entry(long number, int perSecond) {
    EndpointLoad load =
        new EndpointLoad(
            PoolSchedulerFixture.endpoint("e" + number, 4), false, 0, new ServiceLatency(), 0, 0);
    load.rateLimit().set(perSecond, 0);
    IndexedEndpoint entry = new IndexedEndpoint(load, number);
    entry.slots = 4;
    return entry;
  }

  private double slots(double unlimited, double meanHoldMillis, boolean ignoresPauses) {
    return limited.slots(unlimited, meanHoldMillis, ignoresPauses);
  }

  /** Each change is asked for twice, as the second answer is the remembered one. */
  @Test
  void slotsFollowEachChange() {
    IndexedEndpoint paused = entry(1, 2);
    paused.isPaused = true;
    limited.add(paused);
    limited.add(entry(2, 6));
    for (int i = 0; i < 2; i++) {
      assertThat(slots(10, HOLD_MILLIS, false)).isEqualTo(13);
      assertThat(slots(10, HOLD_MILLIS, true)).isEqualTo(14);
      assertThat(slots(20, HOLD_MILLIS, true)).isEqualTo(24);
      assertThat(slots(20, 2 * HOLD_MILLIS, true)).isEqualTo(26);
    }
    limited.add(entry(3, 2));
    assertThat(slots(20, 2 * HOLD_MILLIS, true)).isEqualTo(28);
    assertThat(limited.remove(paused)).isTrue();
    assertThat(slots(20, 2 * HOLD_MILLIS, true)).isEqualTo(26);
    assertThat(limited.remove(paused)).isFalse();
  }
}
