package io.samphiredyke.bench.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.invariant.InvariantChecker;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ChainSimulationTest {

  @ParameterizedTest
  @EnumSource(OwnershipFault.class)
  void noFaultAtAnyMomentDoublesARunOrTellsNotRunFalsely(OwnershipFault fault) {
    for (RequestStage moment : RequestStage.values()) {
      FaultOutcome outcome = new ChainSimulation(fault, moment, InvariantChecker.throwing()).run();
      assertThat(outcome.executions()).as("%s", moment).isLessThan(2);
      assertThat(outcome.falseNotRun()).as("%s", moment).isFalse();
    }
  }

  @ParameterizedTest
  @EnumSource(
      value = OwnershipFault.class,
      names = {"NONE", "ENTRY_CUT_FROM_WITNESS", "LOG_OUTAGE"})
  void lossOfNoProcessLeavesNothingUnknown(OwnershipFault fault) {
    for (RequestStage moment : RequestStage.values()) {
      FaultOutcome outcome = new ChainSimulation(fault, moment, InvariantChecker.throwing()).run();
      assertThat(outcome.unknown()).as("%s", moment).isFalse();
      assertThat(outcome.executions()).as("%s", moment).isEqualTo(1);
    }
  }
}
