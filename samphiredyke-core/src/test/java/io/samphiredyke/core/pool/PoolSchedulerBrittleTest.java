package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Endpoints that fail if they have to refuse too many requests, under more load than they take. */
class PoolSchedulerBrittleTest extends PoolSchedulerFixture {

  private static final long SECOND = 1_000 * MILLI;
  private static final long STEP = 5 * MILLI;
  private static final int ENDPOINTS = 4;
  private static final int SLOTS = 8;

  /** Time between an endpoint and the scheduler, one way. */
  private static final long DELAY = 5 * MILLI;

  private static final long SERVICE_TIME = 60 * MILLI;

  private record Running(
      PoolScheduler scheduler, long id, String endpoint, long endsAt, Outcome outcome) {}

  private final Deque<Running> running = new ArrayDeque<>();
  private final Map<String, List<Long>> refusedAt = new HashMap<>();
  private int room = SLOTS;
  private int served;
  private @Nullable PoolScheduler successor;
  private PoolScheduler current = scheduler;
  private boolean isFirstAlive = true;
  private long now;

  @Override
  public void granted(SlotRequest request, String endpointId) {
    super.granted(request, endpointId);
    long inUse =
        running.stream()
            .filter(each -> each.endpoint().equals(endpointId) && each.outcome() == Outcome.SERVED)
            .count();
    if (inUse < room) {
      running.add(
          new Running(current, request.id(), endpointId, now + SERVICE_TIME, Outcome.SERVED));
      return;
    }
    refusedAt.computeIfAbsent(endpointId, id -> new ArrayList<>()).add(now + DELAY);
    running.add(new Running(current, request.id(), endpointId, now + 2 * DELAY, Outcome.FULL));
  }

  private void load(long until) {
    for (; now < until; now += STEP) {
      for (int i = 0; i < 4; i++) {
        current.submit(request(now / STEP * 4 + i, 0, now, 300), now);
      }
      for (Running each : List.copyOf(running)) {
        if (each.endsAt() <= now) {
          running.remove(each);
          served += each.outcome() == Outcome.SERVED ? 1 : 0;
          release(each);
        }
      }
      current.tick(now);
    }
  }

  /** Tells the scheduler of a request, and the present one what it has to know of others. */
  private void release(Running ended) {
    if (isFirstAlive || ended.scheduler() != scheduler) {
      ended.scheduler().release("s", ended.endpoint(), ended.id(), ended.outcome(), 60, now);
    }
    PoolScheduler other = ended.scheduler() == current ? successor : current;
    if (ended.outcome() == Outcome.FULL && other != null) {
      other.refusedElsewhere(ended.endpoint(), ended.id(), now);
    }
  }

  private int mostRefusedInASecond() {
    int most = 0;
    for (List<Long> times : refusedAt.values()) {
      for (long start : times) {
        long count = times.stream().filter(at -> at >= start && at - start < SECOND).count();
        most = Math.max(most, (int) count);
      }
    }
    return most;
  }

  private void start(double tolerated) {
    for (int i = 0; i < ENDPOINTS; i++) {
      scheduler.put(endpoint("e-" + i, SLOTS), 0);
      scheduler.tolerateRefusals("e-" + i, tolerated, 0);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 3, 8})
  void refusalsStayWithinWhatABrittleEndpointBears(int tolerated) {
    start(tolerated);
    load(3 * SECOND);
    for (int shrunk : new int[] {5, 2, 6, 1}) {
      room = shrunk;
      load(now + 4 * SECOND);
    }
    assertThat(mostRefusedInASecond()).isLessThanOrEqualTo(tolerated);
  }

  /** The number holds for all schedulers; grants of one that has failed are not known. */
  @ParameterizedTest
  @ValueSource(ints = {2, 3, 8})
  void refusalsStayWithinItWhenAnotherSchedulerTakesOver(int tolerated) {
    PoolScheduler second =
        new PoolScheduler(new PoolOptions(0.2, 10, 0, 0, 300), this, new SplittableRandom(8));
    successor = second;
    start(tolerated);
    for (int i = 0; i < ENDPOINTS; i++) {
      second.put(endpoint("e-" + i, SLOTS), 0);
      second.tolerateRefusals("e-" + i, tolerated, 0);
    }
    load(3 * SECOND);
    room = 2;
    load(now + 4 * STEP);
    isFirstAlive = false;
    current = second;
    load(now + 3 * SECOND);
    assertThat(mostRefusedInASecond()).isLessThanOrEqualTo(tolerated);
    served = 0;
    load(now + 5 * SECOND);
    assertThat(served).isGreaterThan((int) (0.5 * ENDPOINTS * 2 * 5 * SECOND / SERVICE_TIME));
  }

  @Test
  void endpointIsUsedFullyAfterItsBrittleness() {
    start(2);
    room = 3;
    load(4 * SECOND);
    room = SLOTS;
    for (int i = 0; i < ENDPOINTS; i++) {
      scheduler.tolerateRefusals("e-" + i, EndpointLimits.NONE, now);
    }
    load(now + SECOND);
    served = 0;
    load(now + 2 * SECOND);
    assertThat(served).isGreaterThan((int) (0.9 * ENDPOINTS * SLOTS * 2 * SECOND / SERVICE_TIME));
  }

  /** A smaller room costs no more than the requests that it does not take. */
  @Test
  void brittleEndpointServesWhatItsRoomTakes() {
    start(8);
    load(2 * SECOND);
    room = 4;
    load(now + 2 * SECOND);
    served = 0;
    load(now + 10 * SECOND);
    assertThat(served).isGreaterThan((int) (0.9 * ENDPOINTS * 4 * 10 * SECOND / SERVICE_TIME));
  }
}
