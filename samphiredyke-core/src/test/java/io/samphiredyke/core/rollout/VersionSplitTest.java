package io.samphiredyke.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class VersionSplitTest {

  private static final RolloutOrder ORDER = new RolloutOrder("s", "v2", 12_000, 1);
  private static final double SHARE = 0.15;

  private static boolean grantNext(VersionSplit split) {
    boolean isNew = split.filter(3, 3).kind() != VersionFilter.Kind.EXCEPT;
    split.granted(isNew ? "v2" : "v1");
    return isNew;
  }

  /** What a scheduler may do next, with the share it may use in the opposite case. */
  private enum Step {
    GRANT_AT_FIRST,
    GRANT_AT_SECOND,
    REPLACE_FIRST,
    HOLD_SECOND
  }

  private int explored;

  /**
   * All series of grants at two schedulers that decide at once, of takeovers without any state, and
   * of stages that become unknown.
   */
  @Test
  void sumOverAllSchedulersStaysWithinTheShare() {
    explore(new ArrayList<>(), 8, false);
    System.out.println("hand-over of the exposure: " + explored + " states");
  }

  /** A scheduler that grants the new version its first request breaks the bound at takeovers. */
  @Test
  void variantWithAFreeFirstGrantIsFound() {
    boolean isFound = false;
    try {
      explore(new ArrayList<>(), 9, true);
    } catch (AssertionError e) {
      isFound = true;
    }
    assertThat(isFound).isTrue();
  }

  private void explore(List<Step> series, int depth, boolean isFirstFree) {
    check(series, isFirstFree);
    if (depth == 0) {
      return;
    }
    for (Step step : Step.values()) {
      series.add(step);
      explore(series, depth - 1, isFirstFree);
      series.remove(series.size() - 1);
    }
  }

  private void check(List<Step> series, boolean isFirstFree) {
    explored++;
    VersionSplit first = split(isFirstFree);
    VersionSplit second = split(isFirstFree);
    int granted = 0;
    int toNew = 0;
    for (Step step : series) {
      switch (step) {
        case REPLACE_FIRST -> first = split(isFirstFree);
        case HOLD_SECOND -> second.hold();
        default -> {
          granted++;
          toNew += grantNext(step == Step.GRANT_AT_FIRST ? first : second) ? 1 : 0;
        }
      }
    }
    assertThat((double) toNew).as(series.toString()).isLessThanOrEqualTo(SHARE * granted);
  }

  private static VersionSplit split(boolean isFirstFree) {
    VersionSplit split = new VersionSplit(ORDER);
    split.grantShare(SHARE);
    if (isFirstFree) {
      for (int i = 0; i < 1 / SHARE - 1; i++) {
        split.granted("v1");
      }
    }
    return split;
  }

  @Test
  void newVersionGetsNothingWhileTheStageIsUnknown() {
    VersionSplit split = new VersionSplit(ORDER);
    for (int i = 0; i < 100; i++) {
      assertThat(grantNext(split)).isFalse();
    }
    assertThat(split.filter(3, 0)).isEqualTo(VersionFilter.ADMIT_ALL);
  }

  @Test
  void rejectedVersionGetsNothing() {
    VersionSplit split = new VersionSplit(ORDER);
    split.reject();
    assertThat(split.filter(3, 0).admits("v2")).isFalse();
    assertThat(split.filter(3, 3).admits("v1")).isTrue();
  }

  @Test
  void completeSplitLeavesOldEndpointsToTheirStreams() {
    VersionSplit split = new VersionSplit(ORDER);
    split.complete();
    VersionFilter filter = split.filter(3, 3);
    assertThat(filter.admits("v1")).isFalse();
    assertThat(filter.admits("v2")).isTrue();
    assertThat(filter.admitsResumptions()).isTrue();
    assertThat(split.filter(0, 3)).isEqualTo(VersionFilter.ADMIT_ALL);
  }
}
