package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.serving.CallerLimits;
import io.samphiredyke.core.serving.CustomerSpec;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.core.serving.ServingConfiguration;
import java.util.ArrayList;
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
  public void granted(SlotRequest claim, String endpointId) {
    grants.put(claim.id(), endpointId);
    grantOrder.add(claim.id());
  }

  @Override
  public void refused(SlotRequest claim, SlotRefusal refusal) {
    refusals.put(claim.id(), refusal);
  }

  private static EndpointRecord endpoint(String id, int slots) {
    return new EndpointRecord(id, "s", "10.0.0.1:80", "a", slots, false, 0, 1);
  }

  private static SlotRequest claim(long id, int rank, long now, long patienceMillis) {
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
        now + patienceMillis * MILLI);
  }

  @Test
  void sendsNoMoreToAnEngineThanItCanStart() {
    scheduler.put(endpoint("e", 2), 0);
    for (long id = 1; id <= 4; id++) {
      scheduler.submit(claim(id, 0, 0, 2_000), 0);
    }
    assertThat(grants).containsOnlyKeys(1L, 2L);
    scheduler.release("s", "e", 1, Outcome.SERVED, 500, 500 * MILLI);
    assertThat(grants).hasSize(3);
  }

  @Test
  void servesTheMoreImportantFirst() {
    scheduler.put(endpoint("e", 1), 0);
    scheduler.submit(claim(1, 0, 0, 2_000), 0);
    scheduler.submit(claim(2, 2, 0, 2_000), 0);
    scheduler.submit(claim(3, 0, 0, 2_000), MILLI);
    scheduler.release("s", "e", 1, Outcome.SERVED, 400, 400 * MILLI);
    assertThat(grantOrder).containsExactly(1L, 3L);
  }

  @Test
  void refusesAtOnceWhatCannotStartInTime() {
    scheduler.put(endpoint("e", 1), 0);
    for (long id = 1; id <= 20; id++) {
      scheduler.submit(claim(id, 0, 0, 1_000), 0);
    }
    assertThat(refusals.size()).isGreaterThan(10);
    refusals.values().forEach(r -> assertThat(r.reason()).isEqualTo(SlotRefusal.Reason.OVERLOADED));
  }

  @Test
  void refusesNothingWhilePlacesAreFree() {
    scheduler.put(endpoint("e", 4), 0);
    for (long id = 1; id <= 4; id++) {
      scheduler.submit(claim(id, 2, 0, 1), 0);
    }
    assertThat(refusals).isEmpty();
    assertThat(grants).hasSize(4);
  }

  @Test
  void doesNotSendToAnEndpointThatTheClaimExcludes() {
    scheduler.put(endpoint("e", 4), 0);
    scheduler.put(endpoint("f", 4), 0);
    SlotRequest repeat =
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
    scheduler.submit(repeat, 0);
    assertThat(grants).containsEntry(9L, "f");
  }

  @Test
  void boundsRepeatsByTheBudget() {
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
  void freesWhatAnOwnerNoLongerHolds() {
    scheduler.put(endpoint("e", 1), 0);
    scheduler.submit(claim(1, 0, 0, 2_000), 0);
    scheduler.submit(claim(2, 0, 0, 2_000), 0);
    scheduler.reconcile("host", Set.of(), 200 * MILLI);
    assertThat(grants).as("a young grant may still be on its way").hasSize(1);
    scheduler.reconcile("host", Set.of(), 400 * MILLI);
    assertThat(grants).containsKey(2L);
  }

  @Test
  void prefersTheEndpointThatKeepsThePrompt() {
    scheduler.put(endpoint("e", 4), 0);
    scheduler.put(endpoint("f", 4), 0);
    scheduler.submit(claim(1, 0, 0, 2_000), 0);
    scheduler.release("s", grants.get(1L), 1, Outcome.SERVED, 400, 400 * MILLI);
    SlotRequest again =
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
    scheduler.submit(again, 500 * MILLI);
    assertThat(grants.get(2L)).isEqualTo(grants.get(1L));
  }

  @Test
  void pausesAnEndpointThatFailsAgainAndAgain() {
    scheduler.put(endpoint("e", 4), 0);
    scheduler.put(endpoint("f", 4), 0);
    for (long id = 1; id <= 40; id++) {
      long now = id * MILLI;
      scheduler.submit(claim(id, 0, now, 2_000), now);
      String endpoint = grants.get(id);
      Outcome outcome = endpoint.equals("e") ? Outcome.FAILED : Outcome.SERVED;
      scheduler.release("s", endpoint, id, outcome, 10, now);
    }
    long onFailing = grants.values().stream().filter("e"::equals).count();
    assertThat(onFailing).isLessThanOrEqualTo(4);
  }

  @Test
  void staysOpenWhileAllEndpointsFailAShareOfTheirRequests() {
    for (int i = 0; i < 4; i++) {
      scheduler.put(endpoint("e" + i, 6), 0);
    }
    SplittableRandom random = new SplittableRandom(3);
    for (long id = 1; id <= 400; id++) {
      long now = id * 10 * MILLI;
      scheduler.tick(now);
      scheduler.submit(claim(id, 0, now, 200), now);
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
  void prefersEndpointsThatAnswerWithoutErrors() {
    scheduler.put(endpoint("e", 6), 0);
    scheduler.put(endpoint("f", 6), 0);
    for (long id = 1; id <= 100; id++) {
      long now = id * 100 * MILLI;
      scheduler.submit(claim(id, 0, now, 200), now);
      String endpoint = grants.get(id);
      Outcome outcome = endpoint.equals("e") ? Outcome.ERRORED : Outcome.SERVED;
      scheduler.release("s", endpoint, id, outcome, 100, now + 50 * MILLI);
    }
    long onErring = grants.values().stream().filter("e"::equals).count();
    assertThat(onErring).isLessThan(30);
  }

  @Test
  void grantsOnlyAPartOfTheBurstWhenItStarts() {
    CustomerSpec customer = new CustomerSpec("c", Set.of("k"), -1, 49_000, 49_000, true, 200);
    PoolScheduler started =
        new PoolScheduler(
            new PoolOptions(0.2, 10, 0.06, 114_000, 300), this, new SplittableRandom(7));
    long now = 500 * MILLI;
    started.configure(
        new ServingConfiguration(
            1, List.of(), List.of(), List.of(customer), CallerLimits.defaults()),
        now);
    started.put(endpoint("e", 1_000), now);
    for (long id = 1; id <= 100; id++) {
      started.submit(
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
    assertThat(grants.size()).as("other hosts start too").isLessThanOrEqualTo(49 / 4 + 1);
  }

  /** Six hosts have just restarted and see nobody; callers are back all at once. */
  @Test
  void hostsThatScheduleAloneDoNotOverfillEngines() {
    int hosts = 6;
    int engines = 10;
    int slots = 4;
    for (int host = 0; host < hosts; host++) {
      PoolScheduler alone =
          new PoolScheduler(new PoolOptions(0.2, 10, 0, 0, 300), this, new SplittableRandom(host));
      alone.setCapacityShare(1.0 / hosts, 0);
      for (int engine = 0; engine < engines; engine++) {
        alone.put(endpoint("e" + engine, slots), 0);
      }
      for (long i = 1; i <= 40; i++) {
        alone.submit(claim(host * 1_000 + i, 0, 0, 2_000), 0);
      }
    }
    assertThat(grants.size()).isBetween(engines * slots / 2, engines * slots * 3 / 2);
    assertThat(refusals).isEmpty();
  }

  @Test
  void hostWithAVanishingShareStillServes() {
    scheduler.setCapacityShare(1.0 / 69, 0);
    scheduler.put(endpoint("e", 6), 0);
    scheduler.submit(claim(1, 0, 0, 2_000), 0);
    scheduler.submit(claim(2, 0, 0, 2_000), 0);
    assertThat(grants).containsOnlyKeys(1L);
  }

  @Test
  void refusesWhatWaitsTooLongWhileTheGroupIsNotWhole() {
    scheduler.setCapacityShare(0.1, 0);
    scheduler.put(endpoint("e", 1), 0);
    scheduler.submit(claim(1, 0, 0, 2_000), 0);
    scheduler.submit(claim(2, 0, 0, 50), 0);
    scheduler.tick(49 * MILLI);
    assertThat(refusals).isEmpty();
    scheduler.tick(51 * MILLI);
    assertThat(refusals).containsOnlyKeys(2L);
  }

  @Test
  void countsPlacesThatAnotherSchedulerGranted() {
    scheduler.put(endpoint("e", 2), 0);
    scheduler.restoreGrant("e", claim(1, 0, 0, 2_000), 0);
    scheduler.restoreGrant("e", claim(2, 0, 0, 2_000), 0);
    scheduler.submit(claim(3, 0, 0, 2_000), 0);
    assertThat(grants).isEmpty();
    scheduler.reconcile("host", Set.of(2L), 1_000 * MILLI);
    assertThat(grants).containsOnlyKeys(3L);
  }

  /** A customer asks for many times its quota: who comes back at all should still be on time. */
  @Test
  void callsBackWithinTheObjectiveHoweverLongTheLineIs() {
    CustomerSpec customer = new CustomerSpec("c", Set.of("k"), -1, 1_000, 1_000, true, 200);
    scheduler.configure(
        new ServingConfiguration(
            1, List.of(), List.of(), List.of(customer), CallerLimits.defaults()),
        0);
    scheduler.put(endpoint("e", 4), 0);
    for (long id = 1; id <= 50; id++) {
      SlotRequest asked = claim(id, 0, 0, 2_000);
      scheduler.submit(
          new SlotRequest(
              id,
              "host",
              "s",
              0,
              1,
              asked.estimate(),
              "c",
              500,
              false,
              Set.of(),
              asked.objectiveDeadline(),
              asked.startDeadline()),
          0);
    }
    assertThat(refusals.size()).isGreaterThan(40);
    for (SlotRefusal refusal : refusals.values()) {
      assertThat(refusal.reason()).isEqualTo(SlotRefusal.Reason.OVER_QUOTA);
      assertThat(refusal.retryAfterMillis()).isBetween(1L, 400L);
    }
  }
}
