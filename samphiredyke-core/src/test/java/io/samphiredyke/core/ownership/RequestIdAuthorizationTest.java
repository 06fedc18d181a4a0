package io.samphiredyke.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RequestIdAuthorizationTest {

  @Test
  void hidesIdsOfOtherCustomersEvenAfterExpiry() {
    assertThat(authorization("acme", "drafts", Fixtures.NOW))
        .isEqualTo(RequestIdAuthorization.ADMITTED);
    assertThat(authorization("acme", "drafts", Fixtures.EXPIRY))
        .isEqualTo(RequestIdAuthorization.EXPIRED);
    assertThat(authorization("other", "drafts", Fixtures.EXPIRY))
        .isEqualTo(RequestIdAuthorization.UNKNOWN_ID);
    assertThat(authorization("acme", "permits", Fixtures.NOW))
        .isEqualTo(RequestIdAuthorization.UNKNOWN_ID);
  }

  private static RequestIdAuthorization authorization(String customer, String service, long now) {
    return RequestIdAuthorization.of(Fixtures.ticket(), customer, service, now);
  }
}
