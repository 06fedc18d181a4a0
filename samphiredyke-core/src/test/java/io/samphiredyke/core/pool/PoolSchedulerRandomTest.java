package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.serving.EndpointRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Applies random events in any order and checks the scheduler's invariants after each of them. */
class PoolSchedulerRandomTest {

  private static final long MILLI = 1_000_000;
  private static final int EVENTS = 20_000;
  private static final int ENDPOINTS = 6;
  private static final int SLOTS = 3;

  private final Map<Long, String> held = new HashMap<>();
  private final Set<Long> waiting = new HashSet<>();
  private final Set<Long> decided = new HashSet<>();
  private final Set<String> present = new HashSet<>();

  private final class Checks implements PoolListener {
    @Override
    public void granted(SlotRequest request, String endpointId) {
      assertThat(decided.add(request.id())).as("one decision per request").isTrue();
      assertThat(present).as("only known endpoints").contains(endpointId);
      assertThat(request.excluded()).doesNotContain(endpointId);
      waiting.remove(request.id());
      held.put(request.id(), endpointId);
      long heldAtEndpoint = held.values().stream().filter(endpointId::equals).count();
      assertThat(heldAtEndpoint).as("slots of " + endpointId).isLessThanOrEqualTo(SLOTS);
    }

    @Override
    public void refused(SlotRequest request, SlotRefusal refusal) {
      assertThat(decided.add(request.id())).as("one decision per request").isTrue();
      assertThat(refusal.retryAfterMillis()).isNotNegative();
      waiting.remove(request.id());
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void decidesEachRequestOnceAndExceedsNoSlotCount(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    PoolScheduler scheduler =
        new PoolScheduler(new PoolOptions(0.2, 20, 0, 0, 300), new Checks(), random.split());
    long now = 0;
    for (long event = 1; event <= EVENTS; event++) {
      now += random.nextLong(8 * MILLI);
      step(scheduler, random, event, now);
    }
    now += 10_000 * MILLI;
    scheduler.tick(now);
    assertThat(waiting).as("no request waits beyond its start deadline").isEmpty();
  }

  private void step(PoolScheduler scheduler, SplittableRandom random, long event, long now) {
    int draw = random.nextInt(100);
    String endpoint = "e" + random.nextInt(ENDPOINTS);
    if (draw < 45) {
      waiting.add(event);
      scheduler.submit(request(event, random, now), now);
    } else if (draw < 85 && !held.isEmpty()) {
      List<Long> ids = new ArrayList<>(held.keySet());
      long id = ids.get(random.nextInt(ids.size()));
      String heldEndpoint = held.remove(id);
      Outcome outcome = Outcome.values()[random.nextInt(Outcome.values().length)];
      scheduler.firstEvent("s", heldEndpoint, id, 30);
      scheduler.release("s", heldEndpoint, id, outcome, 100, now);
    } else if (draw < 90) {
      present.add(endpoint);
      scheduler.put(record(endpoint), now);
    } else if (draw < 92 && present.remove(endpoint)) {
      held.values().removeIf(endpoint::equals);
      scheduler.remove(record(endpoint));
    } else if (draw < 95 && !waiting.isEmpty()) {
      long id = waiting.iterator().next();
      waiting.remove(id);
      scheduler.withdraw("s", id);
    } else {
      scheduler.tick(now);
    }
  }

  private static EndpointRecord record(String id) {
    return new EndpointRecord(id, "s", "10.0.0.1:80", "a", SLOTS, false, 0, 1, 0);
  }

  private static SlotRequest request(long id, SplittableRandom random, long now) {
    int tokens = 50 + random.nextInt(5_000);
    return new SlotRequest(
        id,
        "h",
        "s",
        random.nextInt(3),
        random.nextDouble() * 4,
        new WorkEstimate(tokens, 1 + random.nextInt(300), List.of(new PromptPart(id % 40, tokens))),
        "",
        0,
        random.nextInt(10) == 0,
        random.nextInt(5) == 0 ? Set.of("e" + random.nextInt(ENDPOINTS)) : Set.of(),
        now + 800 * MILLI,
        now + random.nextLong(3_000 * MILLI));
  }
}
