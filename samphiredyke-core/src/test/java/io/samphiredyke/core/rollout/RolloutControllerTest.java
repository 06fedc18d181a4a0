package io.samphiredyke.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RolloutControllerTest {

  private static final long DURATION = 12_000;

  private final RolloutController controller = new RolloutController(0.1);
  private final RolloutState canary = RolloutState.begin(new RolloutOrder("s", "v2", DURATION, 1));

  private static RolloutEvidence evidence(int answers, int oldRunning) {
    return new RolloutEvidence(answers, null, false, oldRunning);
  }

  private RolloutStage after(RolloutStage stage, long elapsed, long inStage, RolloutEvidence seen) {
    RolloutState next = controller.decide(canary.next(stage, 0, "test"), elapsed, inStage, seen);
    return next == null ? stage : next.stage();
  }

  /** A new scheduler learns from the reports of the hosts, each half second, what still runs. */
  @Test
  void newSchedulerAwaitsReportsBeforeItDeclaresSuccess() {
    assertThat(after(RolloutStage.COMPLETING, 10_000, 700, evidence(100, 0)))
        .isEqualTo(RolloutStage.COMPLETING);
    assertThat(after(RolloutStage.COMPLETING, 10_000, 1_300, evidence(100, 0)))
        .isEqualTo(RolloutStage.SUCCEEDED);
  }

  @Test
  void successAwaitsTheEndOfRequestsAtTheOldVersion() {
    assertThat(after(RolloutStage.COMPLETING, 20_000, 15_000, evidence(100, 1)))
        .isEqualTo(RolloutStage.COMPLETING);
  }

  @Test
  void versionWithoutAnswersIsRolledBackInTime() {
    assertThat(after(RolloutStage.CANARY, 11_000, 11_000, evidence(0, 3)))
        .isEqualTo(RolloutStage.CANARY);
    assertThat(after(RolloutStage.CANARY, 11_200, 11_200, evidence(0, 3)))
        .isEqualTo(RolloutStage.ROLLED_BACK);
  }

  @Test
  void fewAnswersLengthenTheCanaryStage() {
    assertThat(after(RolloutStage.CANARY, 6_000, 6_000, evidence(39, 3)))
        .isEqualTo(RolloutStage.CANARY);
    assertThat(after(RolloutStage.CANARY, 6_000, 6_000, evidence(40, 3)))
        .isEqualTo(RolloutStage.EXPANDING);
    assertThat(after(RolloutStage.CANARY, 7_300, 7_300, evidence(10, 3)))
        .isEqualTo(RolloutStage.EXPANDING);
  }

  @Test
  void finalStagesStay() {
    RolloutEvidence worse = new RolloutEvidence(100, "fails more", false, 0);
    assertThat(after(RolloutStage.SUCCEEDED, 5_000, 5_000, worse))
        .isEqualTo(RolloutStage.SUCCEEDED);
    assertThat(after(RolloutStage.EXPANDING, 5_000, 100, worse))
        .isEqualTo(RolloutStage.ROLLED_BACK);
  }
}
