package io.samphiredyke.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.pool.EndpointPauses;
import io.samphiredyke.core.serving.EndpointRecord;
import java.util.List;
import org.junit.jupiter.api.Test;

class EndpointEligibilityTest {

  private static final EndpointRecord ENDPOINT =
      new EndpointRecord("e", "s", "10.0.0.1:80", "a", 1, false, 0, 0, 0, "v");

  private final EndpointPauses pauses = new EndpointPauses();
  private final EndpointEligibility eligibility =
      new EndpointEligibility(pauses, service -> List.of(ENDPOINT), "s");

  @Test
  void triedEndpointIsExcluded() {
    eligibility.exclude("e");
    assertThat(eligibility.excluded(0)).containsExactly("e");
  }

  /**
   * Guards against a refusal for want of endpoints after the wait for a pause that is forgotten.
   */
  @Test
  void requestMayReturnToTheEndpointWhosePauseItAwaited() {
    eligibility.exclude("e");
    pauses.pause(ENDPOINT, 100);
    assertThat(eligibility.usableAt(50)).isEqualTo(100);
    eligibility.awaitPause();
    assertThat(eligibility.excluded(50)).containsExactly("e");
    pauses.expire(100);
    assertThat(eligibility.excluded(100)).isEmpty();
  }
}
