package io.samphiredyke.bench.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ExperimentTest {

  private static final long SEED = 5;
  private static final double SECONDS = 90;

  private final Experiment experiment = new Experiment(SEED, new Calibration(SEED));
  private final Dispatcher.Factory production =
      BrokeredDispatcher.factory(BrokeredOptions.PRODUCTION);

  @Test
  void topTierKeepsItsGoodputAtThreeTimesCapacity() {
    Scenario overload = new Scenario(WorkloadKind.SUNDARBAN, 3, SECONDS, Scenario.Fault.NONE);
    RunResult result = experiment.run(overload, "own", production);
    assertThat(result.goodput(0)).isGreaterThan(0.99);
    assertThat(result.statistics().inversions()).isZero();
    assertThat(result.totalGoodput()).isGreaterThan(0.9);
    assertThat(result.wastedPrefill()).isLessThan(0.02);
  }

  @Test
  void sameSeedGivesSameRun() {
    Scenario scenario = new Scenario(WorkloadKind.FUGEVERK, 0.9, 40, Scenario.Fault.ENTRY_DIES);
    RunResult first = experiment.run(scenario, "own", production);
    RunResult second = experiment.run(scenario, "own", production);
    assertThat(first.counts()).isEqualTo(second.counts());
    assertThat(first.workByEngine()).isEqualTo(second.workByEngine());
    assertThat(first.counts().executions()).isPositive();
  }
}
