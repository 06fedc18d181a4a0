package io.samphiredyke.core.follow;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** All interleavings of writes, restores, lost and late responses, within bounds. */
class RestoreModelTest {

  private static final RestoreModel.Bounds BOUNDS = new RestoreModel.Bounds(2, 2, 0);

  @Test
  void hostsConvergeOnTheLastConfirmedVersionAndNeverRegress() {
    RestoreModel.Result result = new RestoreModel(BOUNDS, true).explore();
    System.out.println("restored store: " + result.states() + " states");
    assertThat(result.violation()).isEmpty();
    assertThat(result.states()).isGreaterThan(10_000);
  }

  @Test
  void hostsConvergeAfterARestart() {
    RestoreModel.Bounds bounds = new RestoreModel.Bounds(2, 1, 1);
    RestoreModel.Result result = new RestoreModel(bounds, true).explore();
    System.out.println("restored store with a restart: " + result.states() + " states");
    assertThat(result.violation()).isEmpty();
  }

  @Test
  void followingByOffsetAloneIsFoundToMissVersions() {
    RestoreModel.Result result = new RestoreModel(BOUNDS, false).explore();
    assertThat(result.violation()).hasValueSatisfying(v -> assertThat(v).contains("stays at"));
  }
}
