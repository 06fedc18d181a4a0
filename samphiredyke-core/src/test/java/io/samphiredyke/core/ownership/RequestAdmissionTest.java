package io.samphiredyke.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RequestAdmissionTest {

  @Test
  void hidesTheIdsOfOtherCustomersAlsoAfterExpiry() {
    assertThat(admission("acme", "drafts", Fixtures.NOW))
        .isEqualTo(RequestIdAuthorization.ADMITTED);
    assertThat(admission("acme", "drafts", Fixtures.EXPIRY))
        .isEqualTo(RequestIdAuthorization.EXPIRED);
    assertThat(admission("other", "drafts", Fixtures.EXPIRY))
        .isEqualTo(RequestIdAuthorization.UNKNOWN_ID);
    assertThat(admission("acme", "permits", Fixtures.NOW))
        .isEqualTo(RequestIdAuthorization.UNKNOWN_ID);
  }

  private static RequestIdAuthorization admission(String customer, String service, long now) {
    return RequestIdAuthorization.of(Fixtures.ticket(), customer, service, now);
  }
}
