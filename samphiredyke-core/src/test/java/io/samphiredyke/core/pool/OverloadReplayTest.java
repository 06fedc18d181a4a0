package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.pool.SchedulerReplay.RequestClass;
import io.samphiredyke.core.serving.CallerLimits;
import io.samphiredyke.core.serving.ServingConfiguration;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Simulates the users' days of highest load on the production scheduler: engines of different
 * speeds, three classes of generation requests of different ranks, bursts of twice the capacity.
 */
class OverloadReplayTest {

  private static final int ENGINES = 8;
  private static final long SEED = 11;

  /** Latency factors assigned to the engines in turn; the users' slow engines take 3x as long. */
  private static final double[] LATENCY_FACTORS = {0.7, 0.7, 2.1};

  private static final List<RequestClass> REQUEST_CLASSES =
      List.of(
          new RequestClass(0, 3_700, 120, 0.34, 800),
          new RequestClass(1, 2_900, 52, 0.25, 800),
          new RequestClass(2, 1_100, 172, 0.41, 500));

  private final SchedulerReplay replay =
      new SchedulerReplay(
          new ServingConfiguration(1, List.of(), List.of(), List.of(), CallerLimits.defaults()),
          REQUEST_CLASSES,
          ENGINES,
          LATENCY_FACTORS);

  private void addArrivals(long from, long until, double perSecond) {
    replay.addArrivals("", from, until, perSecond, SEED + from);
  }

  private double servedRatio(int rank) {
    return replay.ratio(
        each -> each.requestClass.rank() == rank, each -> each.isOnTime || each.isLate);
  }

  private double servedRatio() {
    return replay.ratio(each -> true, each -> each.isOnTime || each.isLate);
  }

  private double onTimeRatio(int rank) {
    return replay.ratio(each -> each.requestClass.rank() == rank, each -> each.isOnTime);
  }

  @Test
  void servesEverythingAtModerateLoad() {
    addArrivals(0, 30_000, 35);
    replay.run();
    assertThat(replay.ratio(each -> true, each -> each.isRefused)).isZero();
    for (RequestClass each : REQUEST_CLASSES) {
      assertThat(onTimeRatio(each.rank())).isGreaterThan(0.95);
    }
  }

  @Test
  void neverExceedsTheSlotsOfAnEngine() {
    addArrivals(0, 15_000, 120);
    replay.run();
    assertThat(replay.peakRunningPerEngine).isLessThanOrEqualTo(SchedulerReplay.SLOTS);
  }

  @Test
  void servesTheHighestRankInBurstsOfTwiceTheCapacity() {
    addArrivals(0, 5_000, 40);
    addArrivals(5_000, 10_000, 130);
    addArrivals(10_000, 20_000, 40);
    replay.run();
    assertThat(servedRatio(0)).isGreaterThan(0.98);
    assertThat(servedRatio(1)).isGreaterThanOrEqualTo(servedRatio(2) - 0.05);
    assertThat(servedRatio()).isGreaterThan(0.7);
  }

  @Test
  void lowestRankIsNotStarvedBySustainedOverload() {
    addArrivals(0, 30_000, 130);
    replay.run();
    assertThat(servedRatio(2)).isGreaterThan(servedRatio() / 4);
  }

  @Test
  void learnsWhichEnginesAreSlow() {
    addArrivals(0, 20_000, 30);
    replay.run();
    assertThat(onTimeRatio(0)).isGreaterThan(0.95);
  }
}
