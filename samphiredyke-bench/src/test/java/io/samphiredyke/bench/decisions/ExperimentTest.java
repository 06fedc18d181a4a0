package io.samphiredyke.bench.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ExperimentTest {

  private static final long SEED = 5;
  private static final double SECONDS = 90;

  private final Experiment experiment = new Experiment(SEED, new Calibration(SEED));
  private final Dispatcher.Factory own = BrokeredDispatcher.factory(BrokeredOptions.OWN);

  @Test
  void topTierKeepsItsGoodputAtThreeTimesCapacity() {
    Scenario storm = new Scenario(WorkloadKind.SUNDARBAN, 3, SECONDS, Scenario.Fault.NONE);
    RunResult result = experiment.run(storm, "own", own);
    assertThat(result.goodput(0)).isGreaterThan(0.99);
    assertThat(result.tally().inversions()).isZero();
    assertThat(result.totalGoodput()).isGreaterThan(0.9);
    assertThat(result.wastedPrefill()).isLessThan(0.02);
  }

  @Test
  void sameSeedGivesSameRun() {
    Scenario calm = new Scenario(WorkloadKind.FUGEVERK, 0.9, 40, Scenario.Fault.ENTRY_DIES);
    RunResult first = experiment.run(calm, "own", own);
    RunResult second = experiment.run(calm, "own", own);
    assertThat(first.counts()).isEqualTo(second.counts());
    assertThat(first.workByEngine()).isEqualTo(second.workByEngine());
    assertThat(first.counts().executions()).isPositive();
  }
}
