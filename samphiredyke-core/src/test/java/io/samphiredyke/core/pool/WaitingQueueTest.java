package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class WaitingQueueTest {

  private static final double MEAN_HOLD_MILLIS = 400;

  private final WaitingQueue queue = new WaitingQueue();
  private final RankStatistics ranks = new RankStatistics();

  private WaitingRequest add(long id, int rank, double holdMillis, double density) {
    ranks.add(rank, holdMillis);
    SlotRequest request =
        new SlotRequest(id, "h", "s", rank, 1, WorkEstimate.PLAIN, "", 0, false, Set.of(), id, id);
    WaitingRequest waiting = new WaitingRequest(request, 0, holdMillis, density, false, 0);
    queue.add(waiting);
    return waiting;
  }

  private List<Long> order() {
    List<Long> ids = new ArrayList<>();
    queue.forEach(waiting -> ids.add(waiting.request.id()));
    return ids;
  }

  @Test
  void ordersByRankThenDensityThenDeadline() {
    add(1, 1, MEAN_HOLD_MILLIS, 2);
    add(2, 0, MEAN_HOLD_MILLIS, 1);
    add(3, 0, MEAN_HOLD_MILLIS, 1);
    add(4, 0, MEAN_HOLD_MILLIS, 1.5);
    assertThat(order()).containsExactly(4L, 2L, 3L, 1L);
  }

  @Test
  void lateRequestGoesBehindItsRankAndTheNextOne() {
    WaitingRequest late = add(1, 0, MEAN_HOLD_MILLIS, 1);
    add(2, 0, MEAN_HOLD_MILLIS, 1);
    add(3, 1, MEAN_HOLD_MILLIS, 1);
    add(4, 2, MEAN_HOLD_MILLIS, 1);
    queue.markLate(late, ranks);
    assertThat(order()).containsExactly(2L, 3L, 1L, 4L);
  }

  @Test
  void lateRequestGoesBehindLowerRanksOfWhichSeveralFitIntoItsTime() {
    WaitingRequest late = add(1, 0, 5 * MEAN_HOLD_MILLIS, 1);
    add(2, 2, MEAN_HOLD_MILLIS, 1);
    add(3, 3, 2 * MEAN_HOLD_MILLIS, 1);
    queue.markLate(late, ranks);
    assertThat(order()).containsExactly(2L, 1L, 3L);
  }

  @Test
  void lateRequestsKeepTheOrderOfTheirRanks() {
    WaitingRequest high = add(1, 0, MEAN_HOLD_MILLIS, 1);
    WaitingRequest low = add(2, 1, MEAN_HOLD_MILLIS, 2);
    queue.markLate(low, ranks);
    queue.markLate(high, ranks);
    assertThat(order()).containsExactly(1L, 2L);
  }

  @Test
  void removesARequestThatBecameLate() {
    WaitingRequest late = add(1, 0, MEAN_HOLD_MILLIS, 1);
    queue.markLate(late, ranks);
    assertThat(queue.remove(1)).isSameAs(late);
    assertThat(queue.remove(1)).isNull();
    assertThat(queue.isEmpty()).isTrue();
  }
}
