package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.rollout.RolloutOrder;
import io.samphiredyke.core.rollout.VersionSplit;
import io.samphiredyke.core.serving.EndpointRecord;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Grants of a service whose traffic is split between two software versions. */
class PoolSchedulerRolloutTest extends PoolSchedulerFixture {

  private static final long SECOND = 1_000 * MILLI;

  private final VersionSplit split = new VersionSplit(new RolloutOrder("s", "v2", 12_000, 1));

  private static EndpointRecord endpoint(String id, String version) {
    return new EndpointRecord(id, "s", "10.0.0.1:80", "a", 4, false, 0, 1, 0, version);
  }

  private static SlotRequest excluding(long id, String endpointId) {
    return new SlotRequest(
        id,
        "host",
        "s",
        "route",
        0,
        1,
        WorkEstimate.PLAIN,
        "",
        0,
        false,
        Set.of(endpointId),
        null,
        SECOND,
        SECOND);
  }

  @BeforeEach
  void startEndpoints() {
    scheduler.put(endpoint("old", "v1"), 0);
    scheduler.put(endpoint("new", "v2"), 0);
    scheduler.setSplit("s", split, 0);
  }

  private int granted(String endpointId) {
    return (int) grants.values().stream().filter(endpointId::equals).count();
  }

  private void serve(int count) {
    for (long id = 1; id <= count; id++) {
      scheduler.submit(request(id, 0, id * MILLI, 1_000), id * MILLI);
      scheduler.release("s", grants.get(id), id, Outcome.SERVED, 20, id * MILLI);
    }
  }

  @Test
  void newVersionGetsItsShareAlthoughTheOldOneIsFaster() {
    serve(50);
    split.grantShare(0.1);
    grants.clear();
    serve(200);
    assertThat(granted("new")).isBetween(18, 20);
  }

  private @Nullable String findingAfter(double oldMillis, double newMillis) {
    serve(50);
    split.grantShare(0.5);
    for (long id = 51; id <= 400; id++) {
      long now = id * 10 * MILLI;
      scheduler.submit(request(id, 0, now, 1_000), now);
      String endpointId = grants.get(id);
      double millis = "new".equals(endpointId) ? newMillis : oldMillis;
      scheduler.release("s", endpointId, id, Outcome.SERVED, millis, now);
    }
    return Objects.requireNonNull(scheduler.rolloutEvidence("s", 4 * SECOND)).finding();
  }

  /** A busy host measures its own delays, too. */
  @Test
  void delaysOfMillisecondsAreNoSlownessOfTheNewVersion() {
    assertThat(findingAfter(1, 9)).isNull();
  }

  @Test
  void slowVersionOfAQuickServiceIsFound() {
    assertThat(findingAfter(1, 40)).startsWith("is slower");
  }

  @Test
  void noSlotStaysFreeThatTheSharePermits() {
    split.grantShare(0.5);
    for (long id = 1; id <= 6; id++) {
      scheduler.submit(request(id, 0, 0, 1_000), 0);
    }
    assertThat(granted("old") + granted("new")).isEqualTo(6);
  }

  @Test
  void streamsOfTheOldVersionGoOnThereWhileTrafficCompletes() {
    split.complete();
    scheduler.submit(excluding(1, "new"), MILLI);
    scheduler.submit(excluding(2, "other"), MILLI);
    assertThat(grants).containsEntry(1L, "old").containsEntry(2L, "new");
  }

  @Test
  void limitOfAnOldEndpointHoldsForItsStreams() {
    scheduler.limit("old", 1, 0);
    split.complete();
    for (long id = 1; id <= 4; id++) {
      scheduler.submit(excluding(id, "new"), MILLI);
    }
    assertThat(granted("old")).isLessThanOrEqualTo(1);
  }
}
