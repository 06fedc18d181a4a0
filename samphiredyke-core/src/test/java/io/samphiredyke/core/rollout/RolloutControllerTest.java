package io.samphiredyke.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RolloutControllerTest {

  private static final long DURATION = 12_000;

  private final RolloutController controller = new RolloutController(0.1);
  private final RolloutState canary = RolloutState.begin(new RolloutOrder("s", "v2", DURATION, 1));

  private RolloutStage after(
      RolloutStage stage, long elapsed, long inStage, long deciding, RolloutEvidence seen) {
    RolloutState next =
        controller.decide(canary.next(stage, 0, "test"), elapsed, inStage, deciding, seen);
    return next == null ? stage : next.stage();
  }

  /** Hosts report each half second what still runs; a new scheduler learns it from the reports. */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "new scheduler awaits reports before success, COMPLETING, 10000, 700, 700, 100, 0, COMPLETING",
    "new scheduler has received the reports, COMPLETING, 10000, 1300, 1300, 100, 0, SUCCEEDED",
    "lasting scheduler needs no more reports, COMPLETING, 10000, 700, 9000, 100, 0, SUCCEEDED",
    "lasting scheduler awaits one report, COMPLETING, 10000, 590, 9000, 100, 0, COMPLETING",
    "requests run at the old version, COMPLETING, 20000, 15000, 15000, 100, 1, COMPLETING",
    "version without answers has time left, CANARY, 11000, 11000, 11000, 0, 3, CANARY",
    "version without answers has no time left, CANARY, 11200, 11200, 11200, 0, 3, ROLLED_BACK",
    "few answers lengthen the canary stage, CANARY, 6000, 6000, 6000, 39, 3, CANARY",
    "enough answers end it, CANARY, 6000, 6000, 6000, 40, 3, EXPANDING",
    "few answers end it later, CANARY, 7300, 7300, 7300, 10, 3, EXPANDING"
  })
  void stageFollowsFromTimeAndAnswers(
      String name,
      RolloutStage stage,
      long elapsed,
      long inStage,
      long deciding,
      int answers,
      int oldRunning,
      RolloutStage expected) {
    RolloutEvidence seen = new RolloutEvidence(answers, null, false, oldRunning);
    assertThat(after(stage, elapsed, inStage, deciding, seen)).isEqualTo(expected);
  }

  @Test
  void finalStagesStay() {
    RolloutEvidence worse = new RolloutEvidence(100, "fails more", false, 0);
    assertThat(after(RolloutStage.SUCCEEDED, 5_000, 5_000, 5_000, worse))
        .isEqualTo(RolloutStage.SUCCEEDED);
    assertThat(after(RolloutStage.EXPANDING, 5_000, 100, 100, worse))
        .isEqualTo(RolloutStage.ROLLED_BACK);
  }
}
