package io.samphiredyke.bench.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.invariant.InvariantChecker;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ChainSimulationTest {

  @ParameterizedTest
  @EnumSource(OwnershipFault.class)
  void faultNeverCausesDuplicateExecutionOrFalseNotRun(OwnershipFault fault) {
    for (RequestStage stage : RequestStage.values()) {
      FaultOutcome outcome = new ChainSimulation(fault, stage, InvariantChecker.throwing()).run();
      assertThat(outcome.executions()).as("%s", stage).isLessThan(2);
      assertThat(outcome.falseNotRun()).as("%s", stage).isFalse();
    }
  }

  @ParameterizedTest
  @EnumSource(
      value = OwnershipFault.class,
      names = {"NONE", "ENTRY_CUT_FROM_WITNESS", "LOG_OUTAGE"})
  void requestRunsOnceWithKnownOutcomeIfNoProcessIsLost(OwnershipFault fault) {
    for (RequestStage stage : RequestStage.values()) {
      FaultOutcome outcome = new ChainSimulation(fault, stage, InvariantChecker.throwing()).run();
      assertThat(outcome.unknown()).as("%s", stage).isFalse();
      assertThat(outcome.executions()).as("%s", stage).isEqualTo(1);
    }
  }
}
