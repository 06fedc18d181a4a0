package io.samphiredyke.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RequestAdmissionTest {

  @Test
  void hidesTheIdsOfOtherCustomersAlsoAfterExpiry() {
    assertThat(admission("acme", "drafts", Fixtures.NOW)).isEqualTo(RequestAdmission.ADMITTED);
    assertThat(admission("acme", "drafts", Fixtures.EXPIRY)).isEqualTo(RequestAdmission.EXPIRED);
    assertThat(admission("other", "drafts", Fixtures.EXPIRY))
        .isEqualTo(RequestAdmission.UNKNOWN_ID);
    assertThat(admission("acme", "permits", Fixtures.NOW)).isEqualTo(RequestAdmission.UNKNOWN_ID);
  }

  private static RequestAdmission admission(String customer, String service, long now) {
    return RequestAdmission.of(Fixtures.ticket(), customer, service, now);
  }
}
