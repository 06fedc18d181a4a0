package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.serving.CallerLimits;
import io.samphiredyke.core.serving.CustomerSpec;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.core.serving.ServiceSpec;
import io.samphiredyke.core.serving.ServingConfiguration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class PoolSchedulerTest implements PoolListener {

  private static final long MILLI = 1_000_000;

  private final Map<Long, String> grants = new HashMap<>();
  private final List<Long> grantOrder = new ArrayList<>();
  private final Map<Long, SlotRefusal> refusals = new HashMap<>();
  private final PoolScheduler scheduler =
      new PoolScheduler(new PoolOptions(0.2, 10, 0, 0, 300), this, new SplittableRandom(7));

  @Override
  public void granted(SlotRequest request, String endpointId) {
    grants.put(request.id(), endpointId);
    grantOrder.add(request.id());
  }

  @Override
  public void refused(SlotRequest request, SlotRefusal refusal) {
    refusals.put(request.id(), refusal);
  }

  private static EndpointRecord endpoint(String id, int slots) {
    return new EndpointRecord(id, "s", "10.0.0.1:80", "a", slots, false, 0, 1);
  }

  private static SlotRequest request(long id, int rank, long now, long startWithinMillis) {
    return new SlotRequest(
        id,
        "host",
        "s",
        rank,
        1,
        new WorkEstimate(4_000, 120, List.of(new PromptPart(id, 4_000))),
        "",
        0,
        false,
        Set.of(),
        now + 800 * MILLI,
        now + startWithinMillis * MILLI);
  }

  @Test
  void grantsNoMoreThanTheSlotsOfAnEndpoint() {
    scheduler.put(endpoint("e", 2), 0);
    for (long id = 1; id <= 4; id++) {
      scheduler.submit(request(id, 0, 0, 2_000), 0);
    }
    assertThat(grants).containsOnlyKeys(1L, 2L);
    scheduler.release("s", "e", 1, Outcome.SERVED, 500, 500 * MILLI);
    assertThat(grants).hasSize(3);
  }

  @Test
  void grantsTheHighestRankFirst() {
    scheduler.put(endpoint("e", 1), 0);
    scheduler.submit(request(1, 0, 0, 2_000), 0);
    scheduler.submit(request(2, 2, 0, 2_000), 0);
    scheduler.submit(request(3, 0, 0, 2_000), MILLI);
    scheduler.release("s", "e", 1, Outcome.SERVED, 400, 400 * MILLI);
    assertThat(grantOrder).containsExactly(1L, 3L);
  }

  @Test
  void refusesRequestsThatCannotStartInTime() {
    scheduler.put(endpoint("e", 1), 0);
    for (long id = 1; id <= 20; id++) {
      scheduler.submit(request(id, 0, 0, 1_000), 0);
    }
    assertThat(refusals.size()).isGreaterThan(10);
    refusals.values().forEach(r -> assertThat(r.reason()).isEqualTo(SlotRefusal.Reason.OVERLOADED));
  }

  @Test
  void refusesNothingWhileSlotsAreFree() {
    scheduler.put(endpoint("e", 4), 0);
    for (long id = 1; id <= 4; id++) {
      scheduler.submit(request(id, 2, 0, 1), 0);
    }
    assertThat(refusals).isEmpty();
    assertThat(grants).hasSize(4);
  }

  @Test
  void skipsExcludedEndpoints() {
    scheduler.put(endpoint("e", 4), 0);
    scheduler.put(endpoint("f", 4), 0);
    SlotRequest retry =
        new SlotRequest(
            9,
            "host",
            "s",
            0,
            1,
            WorkEstimate.PLAIN,
            "",
            0,
            true,
            Set.of("e"),
            MILLI,
            1_000 * MILLI);
    scheduler.submit(retry, 0);
    assertThat(grants).containsEntry(9L, "f");
  }

  @Test
  void limitsRetriesToTheBudget() {
    scheduler.put(endpoint("e", 1_000), 0);
    for (long id = 1; id <= 30; id++) {
      scheduler.submit(
          new SlotRequest(
              id, "h", "s", 0, 1, WorkEstimate.PLAIN, "", 0, true, Set.of(), MILLI, 1_000 * MILLI),
          0);
    }
    assertThat(grants).hasSize(10);
    assertThat(refusals).hasSize(20);
  }

  @Test
  void reconcileFreesSlotsMissingFromTheReport() {
    scheduler.put(endpoint("e", 1), 0);
    scheduler.submit(request(1, 0, 0, 2_000), 0);
    scheduler.submit(request(2, 0, 0, 2_000), 0);
    scheduler.reconcile("host", Set.of(), 200 * MILLI);
    assertThat(grants).as("a recent grant may be missing from the report").hasSize(1);
    scheduler.reconcile("host", Set.of(), 400 * MILLI);
    assertThat(grants).containsKey(2L);
  }

  @Test
  void prefersTheEndpointThatCachesThePrompt() {
    ServiceSpec engines = new ServiceSpec("s", 100, true, 4, 500_000);
    scheduler.configure(
        new ServingConfiguration(
            1, List.of(), List.of(engines), List.of(), CallerLimits.defaults()),
        0);
    scheduler.put(endpoint("e", 4), 0);
    scheduler.put(endpoint("f", 4), 0);
    scheduler.submit(request(1, 0, 0, 2_000), 0);
    scheduler.release("s", grants.get(1L), 1, Outcome.SERVED, 400, 400 * MILLI);
    SlotRequest samePrompt =
        new SlotRequest(
            2,
            "host",
            "s",
            0,
            1,
            new WorkEstimate(4_000, 120, List.of(new PromptPart(1, 4_000))),
            "",
            0,
            false,
            Set.of(),
            2_000 * MILLI,
            3_000 * MILLI);
    scheduler.submit(samePrompt, 500 * MILLI);
    assertThat(grants.get(2L)).isEqualTo(grants.get(1L));
  }

  @Test
  void pausesAnEndpointAfterConsecutiveFailures() {
    scheduler.put(endpoint("e", 4), 0);
    scheduler.put(endpoint("f", 4), 0);
    for (long id = 1; id <= 40; id++) {
      long now = id * MILLI;
      scheduler.submit(request(id, 0, now, 2_000), now);
      String endpoint = grants.get(id);
      Outcome outcome = endpoint.equals("e") ? Outcome.FAILED : Outcome.SERVED;
      scheduler.release("s", endpoint, id, outcome, 10, now);
    }
    long onFailing = grants.values().stream().filter("e"::equals).count();
    assertThat(onFailing).isLessThanOrEqualTo(4);
  }

  @Test
  void staysAvailableWhileAllEndpointsFailSomeRequests() {
    for (int i = 0; i < 4; i++) {
      scheduler.put(endpoint("e" + i, 6), 0);
    }
    SplittableRandom random = new SplittableRandom(3);
    for (long id = 1; id <= 400; id++) {
      long now = id * 10 * MILLI;
      scheduler.tick(now);
      scheduler.submit(request(id, 0, now, 200), now);
      String endpoint = grants.get(id);
      if (endpoint != null) {
        Outcome outcome = random.nextDouble() < 0.45 ? Outcome.FAILED : Outcome.SERVED;
        scheduler.release("s", endpoint, id, outcome, 10, now + 5 * MILLI);
      }
    }
    assertThat(refusals).isEmpty();
    assertThat(grants).hasSize(400);
  }

  @Test
  void prefersEndpointsWithFewerErrors() {
    scheduler.put(endpoint("e", 6), 0);
    scheduler.put(endpoint("f", 6), 0);
    for (long id = 1; id <= 100; id++) {
      long now = id * 100 * MILLI;
      scheduler.submit(request(id, 0, now, 200), now);
      String endpoint = grants.get(id);
      Outcome outcome = endpoint.equals("e") ? Outcome.ERRORED : Outcome.SERVED;
      scheduler.release("s", endpoint, id, outcome, 100, now + 50 * MILLI);
    }
    long onFailing = grants.values().stream().filter("e"::equals).count();
    assertThat(onFailing).isLessThan(30);
  }

  @Test
  void grantsOnlyAPartOfTheBurstAfterStart() {
    CustomerSpec customer = new CustomerSpec("c", Set.of("k"), -1, 49_000, 49_000, true, 200);
    PoolScheduler restarted =
        new PoolScheduler(
            new PoolOptions(0.2, 10, 0.06, 114_000, 300), this, new SplittableRandom(7));
    long now = 500 * MILLI;
    restarted.configure(
        new ServingConfiguration(
            1, List.of(), List.of(), List.of(customer), CallerLimits.defaults()),
        now);
    restarted.put(endpoint("e", 1_000), now);
    for (long id = 1; id <= 100; id++) {
      restarted.submit(
          new SlotRequest(
              id,
              "h",
              "s",
              0,
              1,
              WorkEstimate.PLAIN,
              "c",
              1_000,
              false,
              Set.of(),
              now,
              now + MILLI),
          now);
    }
    assertThat(grants.size())
        .as("other hosts start at the same time")
        .isLessThanOrEqualTo(49 / 4 + 1);
  }

  /**
   * Six hosts have just restarted and have not discovered each other; all callers return at once.
   */
  @Test
  void isolatedHostsDoNotOverloadEngines() {
    int hosts = 6;
    int engines = 10;
    int slots = 4;
    for (int host = 0; host < hosts; host++) {
      PoolScheduler isolated =
          new PoolScheduler(new PoolOptions(0.2, 10, 0, 0, 300), this, new SplittableRandom(host));
      isolated.setCapacityShare(1.0 / hosts, 0);
      for (int engine = 0; engine < engines; engine++) {
        isolated.put(endpoint("e" + engine, slots), 0);
      }
      for (long i = 1; i <= 40; i++) {
        isolated.submit(request(host * 1_000 + i, 0, 0, 2_000), 0);
      }
    }
    assertThat(grants.size()).isBetween(engines * slots / 2, engines * slots * 3 / 2);
    assertThat(refusals).isEmpty();
  }

  @Test
  void hostWithASmallCapacityShareStillServes() {
    scheduler.setCapacityShare(1.0 / 69, 0);
    scheduler.put(endpoint("e", 6), 0);
    scheduler.submit(request(1, 0, 0, 2_000), 0);
    scheduler.submit(request(2, 0, 0, 2_000), 0);
    assertThat(grants).containsOnlyKeys(1L);
  }

  @Test
  void refusesOverdueRequestsWhileTheGroupIsIncomplete() {
    scheduler.setCapacityShare(0.1, 0);
    scheduler.put(endpoint("e", 1), 0);
    scheduler.submit(request(1, 0, 0, 2_000), 0);
    scheduler.submit(request(2, 0, 0, 50), 0);
    scheduler.tick(49 * MILLI);
    assertThat(refusals).isEmpty();
    scheduler.tick(51 * MILLI);
    assertThat(refusals).containsOnlyKeys(2L);
  }

  @Test
  void countsGrantsOfAnotherScheduler() {
    scheduler.put(endpoint("e", 2), 0);
    scheduler.restoreGrant("e", request(1, 0, 0, 2_000), 0);
    scheduler.restoreGrant("e", request(2, 0, 0, 2_000), 0);
    scheduler.submit(request(3, 0, 0, 2_000), 0);
    assertThat(grants).isEmpty();
    scheduler.reconcile("host", Set.of(2L), 1_000 * MILLI);
    assertThat(grants).containsOnlyKeys(3L);
  }

  /** A customer sends many times its quota; a retry should still be able to meet its objective. */
  @Test
  void retryTimeStaysWithinTheObjectiveUnderExcessDemand() {
    CustomerSpec customer = new CustomerSpec("c", Set.of("k"), -1, 1_000, 1_000, true, 200);
    scheduler.configure(
        new ServingConfiguration(
            1, List.of(), List.of(), List.of(customer), CallerLimits.defaults()),
        0);
    scheduler.put(endpoint("e", 4), 0);
    for (long id = 1; id <= 50; id++) {
      SlotRequest original = request(id, 0, 0, 2_000);
      scheduler.submit(
          new SlotRequest(
              id,
              "host",
              "s",
              0,
              1,
              original.estimate(),
              "c",
              500,
              false,
              Set.of(),
              original.objectiveDeadline(),
              original.startDeadline()),
          0);
    }
    assertThat(refusals.size()).isGreaterThan(40);
    for (SlotRefusal refusal : refusals.values()) {
      assertThat(refusal.reason()).isEqualTo(SlotRefusal.Reason.OVER_QUOTA);
      assertThat(refusal.retryAfterMillis()).isBetween(1L, 400L);
    }
  }

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
