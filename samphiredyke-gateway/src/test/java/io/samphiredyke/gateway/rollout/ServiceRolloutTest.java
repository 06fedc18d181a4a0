package io.samphiredyke.gateway.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.rollout.RolloutOrder;
import io.samphiredyke.core.rollout.RolloutState;
import org.junit.jupiter.api.Test;

class ServiceRolloutTest {

  private static final long SECOND = 1_000_000_000;

  /** The stages of a roll-out whose store answered late ended after the order's time. */
  @Test
  void timeUntilTheStoreIsReadCounts() {
    RolloutOrder order = new RolloutOrder("s", "v2", 12_000, 1);
    ServiceRollout rollout = new ServiceRollout(order, 5 * SECOND);
    RolloutState first = rollout.begin(7 * SECOND);
    rollout.enter(first, 7 * SECOND);
    assertThat(first.elapsedMillis()).isEqualTo(2_000);
    assertThat(rollout.elapsedMillis(first, 8 * SECOND)).isEqualTo(3_000);
  }
}
