package io.samphiredyke.core.liveness;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class LivenessDecisionTest {

  private final LivenessDecision decision = new LivenessDecision();

  private static LivenessDecision.Step decided(Liveness liveness, String reason) {
    return new LivenessDecision.Step(new LivenessVerdict(liveness, reason), 0);
  }

  private static LivenessDecision.Step again(long delayMillis) {
    return new LivenessDecision.Step(null, delayMillis);
  }

  @Test
  void responseDecides() {
    assertThat(decision.after(ProbeResult.RESPONDED, false, false))
        .isEqualTo(decided(Liveness.ALIVE, "it responded"));
    assertThat(decision.after(ProbeResult.OTHER_INSTANCE, true, true))
        .isEqualTo(decided(Liveness.GONE, "another process responded"));
  }

  @ParameterizedTest
  @EnumSource(names = {"REFUSED", "CLOSED", "UNREACHED"})
  void failureOfKeptConnectionProvesNothing(ProbeResult failure) {
    for (int i = 0; i < 20; i++) {
      assertThat(decision.after(failure, false, false)).isEqualTo(again(0));
    }
  }

  @Test
  void refusedConnectionProvesTheEndUnlessOthersLive() {
    assertThat(decision.after(ProbeResult.REFUSED, true, true))
        .isEqualTo(again(LivenessDecision.PAUSE_MILLIS));
    assertThat(decision.after(ProbeResult.REFUSED, true, false))
        .isEqualTo(decided(Liveness.GONE, "connection refused"));
  }

  @Test
  void otherConnectionsThatOutliveRefusedOnesProveLife() {
    decision.after(ProbeResult.REFUSED, true, true);
    assertThat(decision.after(ProbeResult.REFUSED, true, true))
        .isEqualTo(decided(Liveness.ALIVE, "other connections are open"));
  }

  @ParameterizedTest
  @EnumSource(names = {"CLOSED", "UNREACHED"})
  void failureOfNewConnectionIsLookedAtAgain(ProbeResult failure) {
    int max =
        failure == ProbeResult.CLOSED
            ? LivenessDecision.MAX_CLOSED
            : LivenessDecision.MAX_UNREACHED;
    for (int i = 1; i < max; i++) {
      assertThat(decision.after(failure, true, true))
          .isEqualTo(again(LivenessDecision.PAUSE_MILLIS));
    }
    assertThat(decision.after(failure, true, false).verdict())
        .extracting(LivenessVerdict::liveness)
        .isEqualTo(Liveness.UNKNOWN);
  }

  /** Guards against a lost path that counts as the end of the endpoint. */
  @Test
  void refusedConnectionProvesNothingIfThePathMayBeLost() {
    decision.after(ProbeResult.UNREACHED, true, false);
    assertThat(decision.after(ProbeResult.REFUSED, true, false))
        .isEqualTo(again(LivenessDecision.PAUSE_MILLIS));
  }

  @Test
  void endpointAtItsLimitLivesAsItsOtherConnectionsDo() {
    for (int i = 1; i < LivenessDecision.MAX_CLOSED; i++) {
      decision.after(ProbeResult.CLOSED, true, true);
    }
    assertThat(decision.after(ProbeResult.CLOSED, true, true))
        .isEqualTo(decided(Liveness.ALIVE, "other connections are open"));
  }
}
