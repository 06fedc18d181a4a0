package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.pool.EndpointLimits.Effect;
import org.junit.jupiter.api.Test;

class EndpointLimitsTest {

  private static final long SECOND = 1_000_000_000;

  private final EndpointLimits limits = new EndpointLimits();

  @Test
  void announcesChangesAndConfirmsTheRest() {
    assertThat(limits.responded("e", EndpointLimits.NONE, 0, 1)).isEqualTo(Effect.NONE);
    assertThat(limits.responded("e", 2, 0, 1)).isEqualTo(Effect.CHANGED);
    assertThat(limits.responded("e", 2.05, 2, 3)).isEqualTo(Effect.CONFIRMED);
    assertThat(limits.responded("e", 4, 2, 3)).isEqualTo(Effect.CHANGED);
  }

  @Test
  void responseToAnEarlierRequestDoesNotEndTheLimit() {
    limits.responded("e", 2, 0, 10);
    assertThat(limits.responded("e", EndpointLimits.NONE, 9, 11)).isEqualTo(Effect.NONE);
    assertThat(limits.responded("e", EndpointLimits.NONE, 11, 12)).isEqualTo(Effect.CHANGED);
    assertThat(limits.responded("e", EndpointLimits.NONE, 12, 13)).isEqualTo(Effect.CONFIRMED);
  }

  @Test
  void limitStatedAgainAfterItsEndIsAChange() {
    limits.responded("e", 2, 0, 10);
    limits.responded("e", EndpointLimits.NONE, 11, 12);
    assertThat(limits.responded("e", 2, 13, 14)).isEqualTo(Effect.CHANGED);
    assertThat(limits.responded("e", EndpointLimits.NONE, 13, 15)).isEqualTo(Effect.NONE);
  }

  @Test
  void announcementOfAnotherHostCountsLikeAnOwnOne() {
    assertThat(limits.announced("e", 2, 10)).isTrue();
    assertThat(limits.announced("e", 2, 11)).isFalse();
    assertThat(limits.responded("e", EndpointLimits.NONE, 9, 12)).isEqualTo(Effect.NONE);
    assertThat(limits.size()).isEqualTo(1);
  }

  @Test
  void unconfirmedLimitExpires() {
    limits.responded("e", 2, 0, 0);
    limits.responded("f", 2, 0, 10 * SECOND);
    assertThat(limits.expire(16 * SECOND)).containsExactly("e");
    assertThat(limits.size()).isEqualTo(1);
  }
}
