package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.serving.CallerLimits;
import io.samphiredyke.core.serving.ServiceSpec;
import io.samphiredyke.core.serving.ServingConfiguration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests what the scheduler learns, and how it refuses and places requests under load. */
class PoolSchedulerLoadTest extends PoolSchedulerFixture {

  /** An engine turns slow: what it runs has not started long after the expected time. */
  @Test
  void overdueRequestsTakeWorkFromAnEndpointBeforeTheyEnd() {
    scheduler.put(endpoint("e", 4), 0);
    for (long id = 1; id <= 4; id++) {
      scheduler.submit(request(id, 0, 0, 2_000), 0);
    }
    scheduler.put(endpoint("f", 4), 0);
    for (int millis = 15; millis <= 2_000; millis += 15) {
      scheduler.tick(millis * MILLI);
    }
    for (long id = 1; id <= 4; id++) {
      scheduler.release("s", "e", id, Outcome.WITHDRAWN, 2_000, 2_000 * MILLI);
    }
    for (long id = 11; id <= 14; id++) {
      scheduler.submit(request(id, 0, 2_000 * MILLI, 2_000), 2_000 * MILLI);
      assertThat(grants).containsEntry(id, "f");
    }
  }

  /** A third of the endpoints crashes; what waits can count only on the others. */
  @Test
  void slotsOfPausedEndpointsAreNoCapacity() {
    for (int i = 0; i < 3; i++) {
      scheduler.put(endpoint("e" + i, 4), 0);
    }
    for (long id = 1; id <= 12; id++) {
      scheduler.submit(request(id, 0, 0, 2_000), 0);
    }
    for (long id = 1; id <= 12; id++) {
      if (grants.get(id).equals("e0")) {
        scheduler.release("s", "e0", id, Outcome.FAILED, 10, MILLI);
      }
    }
    long waiting = 0;
    for (long id = 21; id <= 60; id++) {
      scheduler.submit(request(id, 0, MILLI, 450), MILLI);
      waiting = scheduler.waitingCount("s");
    }
    assertThat(waiting).as("8 usable slots, each free after some 430 ms").isLessThanOrEqualTo(8);
  }

  @Test
  void newEndpointTakesWaitingRequestsAtOnce() {
    scheduler.put(endpoint("e", 4), 0);
    for (long id = 1; id <= 8; id++) {
      scheduler.submit(request(id, 0, 0, 2_000), 0);
    }
    scheduler.put(endpoint("f", 4), 10 * MILLI);
    assertThat(grants.values()).filteredOn("f"::equals).hasSize(4);
  }

  /** The callers of a burst are refused together; they should not return together. */
  @Test
  void refusedCallersReturnOneAfterTheOther() {
    scheduler.put(endpoint("e", 4), 0);
    for (long id = 1; id <= 60; id++) {
      scheduler.submit(request(id, 0, 0, 2_000), 0);
    }
    List<Long> returns =
        refusals.values().stream().map(SlotRefusal::retryAfterMillis).sorted().toList();
    assertThat(returns).hasSizeGreaterThan(20);
    long median = returns.get(returns.size() / 2);
    long within = returns.stream().filter(millis -> Math.abs(millis - median) <= 250).count();
    assertThat(within).as("returns within half a second").isLessThan(returns.size() / 2);
  }

  /** Engines of an unknown kind take four times as long as assumed. */
  @Test
  void learnsTheLatencyOfAServiceFromItsRequests() {
    scheduler.put(endpoint("e", 1), 0);
    long now = 0;
    for (long id = 1; id <= 300; id++) {
      now += 2_000 * MILLI;
      scheduler.submit(request(id, 0, now, 2_000), now);
      scheduler.firstEvent("s", "e", id, 440);
      scheduler.release("s", "e", id, Outcome.SERVED, 1_840, now + 1_840 * MILLI);
    }
    scheduler.submit(request(1_000, 0, now, 2_000), now + 1_840 * MILLI);
    refusals.clear();
    scheduler.submit(request(1_001, 0, now + 1_840 * MILLI, 1_000), now + 1_840 * MILLI);
    assertThat(refusals).as("the slot is not free within a second").containsOnlyKeys(1_001L);
  }

  @Test
  void reconcileConsidersOnlyTheGrantsOfTheReportingHost() {
    scheduler.put(endpoint("e", 1), 0);
    scheduler.submit(request(1, 0, 0, 2_000), 0);
    scheduler.reconcile("other", Set.of(), 1_000 * MILLI);
    assertThat(scheduler.endpointOf("s", 1)).isEqualTo("e");
    scheduler.reconcile("host", Set.of(), 1_000 * MILLI);
    assertThat(scheduler.endpointOf("s", 1)).isNull();
  }

  /**
   * Hundreds of requests run at once, so what is learned from one was expected long before. Each
   * starts after 100 ms and ends after 400.
   */
  @Test
  void learnedLatencyIsStableWhileManyRequestsRun() {
    for (int i = 0; i < 74; i++) {
      scheduler.put(endpoint("e" + i, 4), 0);
    }
    Deque<Long> running = new ArrayDeque<>();
    long now = 0;
    for (long id = 1; id <= 20_000; id++) {
      now += 2 * MILLI;
      scheduler.submit(request(id, 0, now, 2_000), now);
      running.add(id);
      if (running.size() > 200) {
        long oldest = running.remove();
        String endpoint = grants.get(oldest);
        assertThat(endpoint).as("request %d of 200 at 296 slots", oldest).isNotNull();
        scheduler.firstEvent("s", endpoint, oldest, 100);
        scheduler.release("s", endpoint, oldest, Outcome.SERVED, 400, now);
      }
    }
    assertThat(refusals).isEmpty();
    for (long id = 30_001; id <= 30_200; id++) {
      scheduler.submit(request(id, 0, now, 2_000), now);
    }
    assertThat(refusals).as("104 waiting requests, 740 slots free in a second").isEmpty();
  }

  /** Callers that were refused in a burst return while it lasts; they will not return again. */
  @Test
  void callerThatArrivesLateWaitsForASlot() {
    scheduler.put(endpoint("e", 4), 0);
    for (long id = 1; id <= 20; id++) {
      scheduler.submit(request(id, 0, 0, 2_000), 0);
    }
    SlotRequest late = request(21, 0, 0, 2_000);
    SlotRequest returned =
        new SlotRequest(
            21,
            "host",
            "s",
            0,
            1,
            late.estimate(),
            "",
            0,
            false,
            Set.of(),
            -1_000 * MILLI,
            late.startDeadline());
    scheduler.submit(returned, 0);
    scheduler.tick(15 * MILLI);
    assertThat(refusals).as("requests of the burst").isNotEmpty().doesNotContainKey(21L);
    for (long id : List.copyOf(grants.keySet())) {
      scheduler.release("s", "e", id, Outcome.SERVED, 400, 400 * MILLI);
    }
    for (long id : List.copyOf(grants.keySet())) {
      scheduler.release("s", "e", id, Outcome.SERVED, 400, 800 * MILLI);
    }
    assertThat(grants).containsKey(21L);
  }

  /** The endpoint that read the prompt last is busy, another one that holds it is not. */
  @Test
  void prefersAnyEndpointThatCachesThePrompt() {
    ServiceSpec engines = new ServiceSpec("s", 100, true, 1, 500_000);
    scheduler.configure(
        new ServingConfiguration(
            1, List.of(), List.of(engines), List.of(), CallerLimits.defaults()),
        0);
    for (int i = 0; i < 20; i++) {
      scheduler.put(endpoint("e" + i, 1), 0);
    }
    scheduler.submit(samePrompt(1), 0);
    scheduler.submit(samePrompt(2), 0);
    String first = grants.get(1L);
    assertThat(grants.get(2L)).isNotEqualTo(first);
    scheduler.release("s", first, 1, Outcome.SERVED, 400, 400 * MILLI);
    scheduler.submit(samePrompt(3), 500 * MILLI);
    assertThat(grants).containsEntry(3L, first);
  }

  private static SlotRequest samePrompt(long id) {
    SlotRequest own = request(id, 0, 0, 2_000);
    WorkEstimate shared = new WorkEstimate(4_000, 120, List.of(new PromptPart(77, 4_000)));
    return new SlotRequest(
        id,
        "host",
        "s",
        0,
        1,
        shared,
        "",
        0,
        false,
        Set.of(),
        own.objectiveDeadline(),
        own.startDeadline());
  }
}
