package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Endpoints that state how many requests a second they accept, under more load than that. */
class PoolSchedulerLimitTest extends PoolSchedulerFixture {

  private static final long SECOND = 1_000 * MILLI;
  private static final long STEP = 10 * MILLI;
  private static final long WINDOW = 4 * SECOND;

  private final List<Long> grantedAt = new ArrayList<>();
  private final Deque<Running> running = new ArrayDeque<>();
  private long now;

  private record Running(long id, String endpoint, long grantedAt) {}

  @Override
  public void granted(SlotRequest request, String endpointId) {
    super.granted(request, endpointId);
    running.addLast(new Running(request.id(), endpointId, now));
    if (endpointId.equals("limited")) {
      grantedAt.add(now);
    }
  }

  /** Submits a request every step and serves each for 50 ms. */
  private void load(long from, long until) {
    for (now = from; now < until; now += STEP) {
      long id = now / STEP;
      scheduler.submit(request(id, 0, now, 300), now);
      releaseServed();
      scheduler.tick(now);
    }
  }

  private void releaseServed() {
    while (!running.isEmpty() && now - running.peekFirst().grantedAt() >= 50 * MILLI) {
      Running served = running.removeFirst();
      scheduler.release("s", served.endpoint(), served.id(), Outcome.SERVED, 50, now);
    }
  }

  private int mostInWindow(long from) {
    int most = 0;
    for (long start : grantedAt) {
      long count = grantedAt.stream().filter(at -> at >= start && at - start <= WINDOW).count();
      most = start < from ? most : Math.max(most, (int) count);
    }
    return most;
  }

  @Test
  void grantsAtMostTheLimitInEachWindow() {
    scheduler.put(endpoint("limited", 4), 0);
    scheduler.put(endpoint("other", 4), 0);
    load(0, 2 * SECOND);
    for (double limit : new double[] {0, 0.3, 1, 2.2, 10}) {
      long from = now;
      grantedAt.clear();
      scheduler.limit("limited", limit, now);
      load(from, from + 10 * SECOND);
      assertThat(mostInWindow(from)).isLessThanOrEqualTo((int) (1.5 * limit * 4 + 5));
      assertThat(grantedAt.size()).isGreaterThanOrEqualTo((int) (0.8 * limit * 10));
    }
  }

  @Test
  void limitEnds() {
    scheduler.put(endpoint("limited", 4), 0);
    scheduler.limit("limited", 1, 0);
    load(0, 5 * SECOND);
    scheduler.limit("limited", EndpointLimits.NONE, now);
    grantedAt.clear();
    load(now, 8 * SECOND);
    assertThat(grantedAt.size()).isGreaterThan(200);
  }

  /** A group that is incomplete grants its share, as the others may grant theirs. */
  @Test
  void hostsThatScheduleAloneShareTheLimit() {
    scheduler.put(endpoint("limited", 4), 0);
    scheduler.put(endpoint("other", 4), 0);
    scheduler.setCapacityShare(0.5, 0);
    scheduler.limit("limited", 4, 0);
    load(0, 10 * SECOND);
    assertThat(grantedAt.size()).isBetween(10, 23);
  }

  /** Callers are told at once when a limited service can't serve them in time. */
  @Test
  void refusesAtOnceWhatTheLimitLeavesNoTimeFor() {
    scheduler.put(endpoint("limited", 4), 0);
    scheduler.limit("limited", 2, 0);
    load(0, 6 * SECOND);
    assertThat(refusals.size()).isGreaterThan(400);
    assertThat(scheduler.waitingCount("s")).isLessThan(40);
  }
}
