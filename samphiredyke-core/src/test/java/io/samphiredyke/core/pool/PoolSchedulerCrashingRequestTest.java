package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.quarantine.CrashSuspects;
import io.samphiredyke.core.quarantine.RequestFingerprint;
import io.samphiredyke.core.serving.EndpointRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays requests that come again unchanged, one of which crashes each endpoint that begins to run
 * it, so that the others crash along with it.
 */
class PoolSchedulerCrashingRequestTest extends PoolSchedulerFixture {

  private static final long GUILTY = 0;
  private static final int CONTENTS = 13;
  private static final int ENDPOINTS = 8;
  private static final int SLOTS = 4;
  private static final long START_MILLIS = 60;
  private static final long SERVE_MILLIS = 250;
  private static final long DOWN_MILLIS = 3_000;
  private static final int RUN_MILLIS = 40_000;

  /** The crashes that find the request, and those that may follow. */
  private static final int MAX_CRASHES = 3 + 3;

  private final CrashSuspects suspects = new CrashSuspects();
  private final Set<RequestFingerprint> quarantined = new HashSet<>();
  private final Map<Long, SlotRequest> running = new HashMap<>();
  private final Map<Long, Long> contents = new HashMap<>();
  private final Map<Long, Long> startedAt = new HashMap<>();
  private final Map<String, Long> backAt = new HashMap<>();
  private final Map<String, Integer> instances = new HashMap<>();
  private SplittableRandom random = new SplittableRandom();
  private int endpoints = ENDPOINTS;
  private int differentContents = CONTENTS;
  private int crashesByGuilty;
  private int served;
  private int sound;
  private long lastId;
  private long now;

  @Override
  public void granted(SlotRequest request, String endpointId) {
    super.granted(request, endpointId);
    running.put(request.id(), request);
    startedAt.put(request.id(), now);
  }

  private EndpointRecord instance(String id) {
    int number = instances.merge(id, 1, Integer::sum);
    return new EndpointRecord(id, "s", "10.0.0.1:80", "a", SLOTS, false, 0, 1, number);
  }

  private static RequestFingerprint fingerprint(long content) {
    return new RequestFingerprint("customer", content);
  }

  private void submit(long content) {
    RequestFingerprint fingerprint = fingerprint(content);
    boolean isHeld = suspects.isUndecided(fingerprint, now) || quarantined.contains(fingerprint);
    sound += content == GUILTY ? 0 : 1;
    if (isHeld) {
      return;
    }
    long id = ++lastId;
    contents.put(id, content);
    scheduler.submit(
        new SlotRequest(
            id,
            "host",
            "s",
            "",
            0,
            1,
            new WorkEstimate(500, 60, List.of(new PromptPart(1_000 + content, 500))),
            "",
            0,
            false,
            Set.of(),
            suspects.mustBeIsolated(fingerprint) ? fingerprint : null,
            now + 800 * MILLI,
            now + 4_000 * MILLI),
        now);
  }

  private void step(long millis) {
    now += millis * MILLI;
    for (String id : List.copyOf(backAt.keySet())) {
      if (backAt.get(id) <= now) {
        backAt.remove(id);
        scheduler.put(instance(id), now);
      }
    }
    for (SlotRequest request : List.copyOf(running.values())) {
      if (!running.containsKey(request.id())) {
        continue;
      }
      long since = now - startedAt.get(request.id());
      if (contents.get(request.id()) == GUILTY && since >= START_MILLIS * MILLI) {
        crashesByGuilty++;
        endConnections(grants.get(request.id()), true);
      } else if (since >= SERVE_MILLIS * MILLI) {
        serve(request);
      }
    }
    quarantined.addAll(suspects.findCauses(now));
    scheduler.tick(now);
  }

  private void serve(SlotRequest request) {
    long sentAt = startedAt.get(request.id());
    String endpointId = grants.get(request.id());
    running.remove(request.id());
    scheduler.release("s", endpointId, request.id(), Outcome.SERVED, 250, now);
    suspects.responded(endpointId + instances.get(endpointId), sentAt, now);
    suspects.served(fingerprint(contents.get(request.id())));
    served++;
  }

  /** Ends all connections of an endpoint, which crashes or whose connections are reset. */
  private void endConnections(String endpointId, boolean isCrash) {
    String instance = endpointId + instances.get(endpointId);
    List<Long> ended = new ArrayList<>();
    for (SlotRequest request : List.copyOf(running.values())) {
      if (endpointId.equals(grants.get(request.id()))) {
        running.remove(request.id());
        scheduler.release("s", endpointId, request.id(), Outcome.BROKEN_OFF, 60, now);
        ended.add(contents.get(request.id()));
      }
    }
    for (long content : ended) {
      if (quarantined.contains(fingerprint(content))) {
        suspects.explain(instance, now);
      }
      suspects.crashed(fingerprint(content), instance, now);
    }
    if (isCrash) {
      scheduler.remove(new EndpointRecord(endpointId, "s", "", "a", SLOTS, false, 0, 1, 1));
      backAt.put(endpointId, now + DOWN_MILLIS * MILLI);
    }
    ended.forEach(this::submit);
  }

  private String anyEndpoint() {
    return "e" + random.nextInt(endpoints);
  }

  private void replay(long seed, boolean hasOtherFaults) {
    random = new SplittableRandom(seed);
    for (int i = 0; i < endpoints; i++) {
      scheduler.put(instance("e" + i), now);
    }
    for (int i = 0; now < RUN_MILLIS * MILLI; i++) {
      submit(random.nextInt(differentContents));
      if (hasOtherFaults && i % 200 == 199) {
        String failing = anyEndpoint();
        if (!backAt.containsKey(failing)) {
          endConnections(failing, i % 400 == 199);
        }
      }
      step(20);
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void onlyTheRequestThatCrashesEndpointsIsQuarantined(long seed) {
    replay(seed, false);
    assertThat(quarantined).containsExactly(fingerprint(GUILTY));
    assertThat(crashesByGuilty).isLessThanOrEqualTo(MAX_CRASHES);
    assertThat((double) served / sound).isGreaterThan(0.95);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void crashesAndResetsForOtherReasonsQuarantineNoSoundRequest(long seed) {
    replay(seed, true);
    assertThat(quarantined).containsExactly(fingerprint(GUILTY));
    assertThat(crashesByGuilty).isLessThanOrEqualTo(MAX_CRASHES);
    assertThat((double) served / sound).isGreaterThan(0.95);
  }

  /** All requests run beside each other all the time, unless they are kept apart. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void requestsThatAlwaysRunTogetherAreToldApart(long seed) {
    endpoints = 1;
    differentContents = SLOTS;
    replay(seed, false);
    assertThat(quarantined).containsExactly(fingerprint(GUILTY));
    assertThat(crashesByGuilty).isLessThanOrEqualTo(MAX_CRASHES);
  }

  private SlotRequest isolated(long id, long content) {
    return new SlotRequest(
        id,
        "host",
        "s",
        "",
        0,
        1,
        WorkEstimate.PLAIN,
        "",
        0,
        false,
        Set.of(),
        fingerprint(content),
        now + 800 * MILLI,
        now + 4_000 * MILLI);
  }

  @Test
  void isolatedRequestsRunBesideOthersButNotBesideEachOther() {
    scheduler.put(instance("e0"), now);
    scheduler.submit(isolated(1, 5), now);
    scheduler.submit(isolated(2, 6), now);
    scheduler.submit(request(3, 0, now, 4_000), now);
    assertThat(grantOrder).containsExactly(1L, 3L);
    scheduler.release("s", "e0", 1, Outcome.SERVED, 10, now);
    assertThat(grantOrder).containsExactly(1L, 3L, 2L);
  }

  @Test
  void isolatedRequestRunsOnceAtATime() {
    scheduler.put(instance("e0"), now);
    scheduler.put(instance("e1"), now);
    scheduler.submit(isolated(1, 5), now);
    scheduler.submit(isolated(2, 5), now);
    assertThat(grantOrder).containsExactly(1L);
    scheduler.refuseIsolated(fingerprint(5));
    assertThat(refusals.get(2L).reason()).isEqualTo(SlotRefusal.Reason.REQUEST_QUARANTINED);
  }
}
