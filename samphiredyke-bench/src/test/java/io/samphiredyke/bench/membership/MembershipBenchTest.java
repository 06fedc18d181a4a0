package io.samphiredyke.bench.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.membership.MembershipSettings;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MembershipBenchTest {

  private static final int MEMBERS = 48;

  private static void assertBounds(Consumer<Scenarios> run) {
    Scenarios scenarios = new Scenarios(MEMBERS, 7, MembershipSettings.builder().build());
    run.accept(scenarios);
    List<Measurement> exceeded =
        scenarios.measurements().stream().filter(measurement -> !measurement.passes()).toList();
    assertThat(scenarios.measurements()).isNotEmpty();
    assertThat(exceeded).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 5})
  void crashesAreDetectedInTimeUnderLoss(int lossPercent) {
    assertBounds(scenarios -> scenarios.crashes(lossPercent, 4));
  }

  @Test
  void steadyGroupHasNoFalseDeathUnderLoss() {
    assertBounds(scenarios -> scenarios.steady(5));
  }

  @Test
  void pausedProcessesDeclareNoOthersDead() {
    assertBounds(scenarios -> scenarios.pauses(10));
  }

  @Test
  void rackAndDataCentreAreDetected() {
    assertBounds(Scenarios::rack);
    assertBounds(Scenarios::dataCentre);
  }

  @Test
  void regionsConvergeAfterPartition() {
    assertBounds(Scenarios::regions);
  }

  @Test
  void plannedLeaveIsNotReportedAsDeath() {
    assertBounds(Scenarios::leaves);
  }

  @Test
  void measurementAboveBoundFails() {
    assertThat(Measurement.bounded("scenario", "name", 2, "s", 1).passes()).isFalse();
    assertThat(Measurement.bounded("scenario", "name", 1, "s", 1).passes()).isTrue();
  }

  @Test
  void unknownFlagIsRejected() {
    assertThat(MembershipBench.run(new String[] {"--unknown"})).isEqualTo(2);
  }
}
