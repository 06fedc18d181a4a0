package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class EndpointFailuresTest {

  private static final long SECOND = 1_000_000_000;

  private final EndpointFailures failures = new EndpointFailures();

  private void fail(String requester, long now) {
    failures.failed(requester, false, true, now);
  }

  /** A requester that failed first but again later is kept longer than those in between. */
  @Test
  void requesterIsForgottenHalfMinuteAfterItsLastFailure() {
    fail("a", 0);
    fail("b", 10 * SECOND);
    fail("a", 20 * SECOND);
    fail("c", 41 * SECOND);
    assertThat(failures.failingCount()).as("a and c").isEqualTo(2);
    assertThat(failures.isFailingFor("a")).isTrue();
    fail("d", 51 * SECOND);
    assertThat(failures.failingCount()).as("c and d").isEqualTo(2);
    assertThat(failures.isFailingFor("a")).isFalse();
  }

  /** The state of 300 hosts and 1,000 endpoints must fit into the heap of a host. */
  @Test
  void requestersWhoseFailureIsOldestAreForgottenBeyondBound() {
    for (int i = 0; i < 300; i++) {
      fail("host" + i, i);
      fail("host" + i, i);
    }
    assertThat(failures.failingCount()).isEqualTo(128);
    assertThat(failures.isPausedFor("host171", SECOND / 10)).isFalse();
    assertThat(failures.isPausedFor("host172", SECOND / 10)).isTrue();
  }
}
