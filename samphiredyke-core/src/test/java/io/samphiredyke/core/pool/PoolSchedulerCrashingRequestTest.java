package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.quarantine.CrashSuspects;
import io.samphiredyke.core.quarantine.RequestFingerprint;
import io.samphiredyke.core.quarantine.RequestQuarantine;
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
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays requests that come again unchanged, one of which crashes each endpoint that begins to run
 * it, so that the others crash along with it.
 */
class PoolSchedulerCrashingRequestTest extends PoolSchedulerFixture {

  private static final long GUILTY = 0;
  private static final long POPULAR = 100;
  private static final int CONTENTS = 13;
  private static final int ENDPOINTS = 8;
  private static final int SLOTS = 4;
  private static final long START_MILLIS = 60;
  private static final long SERVE_MILLIS = 250;
  private static final long DOWN_MILLIS = 3_000;
  private static final int RUN_MILLIS = 40_000;

  /** The crashes that find the request, and those that may follow. */
  private static final int MAX_CRASHES = 3 + 3;

  /** Time after which machines count as calm, {@code Bounds.StableWindowMs}. */
  private static final long STABLE_WINDOW_MILLIS = 3_000;

  private final CrashSuspects suspects = new CrashSuspects();
  private final RequestQuarantine quarantine = new RequestQuarantine();
  private final Set<RequestFingerprint> quarantined = new HashSet<>();
  private final Set<Long> trials = new HashSet<>();
  private final Map<Long, List<Long>> crashesBy = new HashMap<>();
  private final Map<Long, SlotRequest> running = new HashMap<>();
  private final Map<Long, Long> contents = new HashMap<>();
  private final Map<Long, Long> startedAt = new HashMap<>();
  private final Map<String, Long> backAt = new HashMap<>();
  private final Map<String, Integer> instances = new HashMap<>();
  private SplittableRandom random = new SplittableRandom();
  private int endpoints = ENDPOINTS;
  private int differentContents = CONTENTS;
  private int guiltyContents = 1;
  private double popularShare;
  private long popularMillis = SERVE_MILLIS;
  private int popularRefused;
  private int popularSent;
  private long popularRefusedMillis;
  private int served;
  private int sound;
  private long lastId;
  private long now;

  @Override
  public void granted(SlotRequest request, String endpointId) {
    super.granted(request, endpointId);
    RequestFingerprint fingerprint = fingerprint(contents.getOrDefault(request.id(), -1L));
    if (quarantine.mustRefuse(fingerprint, now)) {
      scheduler.release("s", endpointId, request.id(), Outcome.WITHDRAWN, 0, now);
      return;
    }
    if (quarantine.contains(fingerprint)) {
      quarantine.beginTrial(fingerprint, now);
      trials.add(request.id());
    }
    running.put(request.id(), request);
    startedAt.put(request.id(), now);
  }

  private boolean isGuilty(long content) {
    return content < guiltyContents;
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
    boolean isHeld =
        suspects.isUndecided(fingerprint, now) || quarantine.mustRefuse(fingerprint, now);
    sound += isGuilty(content) ? 0 : 1;
    if (content == POPULAR) {
      popularSent++;
      popularRefused += isHeld ? 1 : 0;
    }
    if (isHeld) {
      return;
    }
    boolean isIsolated = suspects.mustBeIsolated(fingerprint) || quarantine.contains(fingerprint);
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
            isIsolated ? fingerprint : null,
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
      long content = contents.get(request.id());
      String endpointId = grants.get(request.id());
      if (backAt.containsKey(endpointId)) {
        // Granted in the moment of the crash: the connection is refused.
        running.remove(request.id());
        if (trials.remove(request.id())) {
          quarantine.endTrial(fingerprint(content), now);
        }
        scheduler.release("s", endpointId, request.id(), Outcome.WITHDRAWN, 0, now);
        submit(content);
      } else if (isGuilty(content) && since >= START_MILLIS * MILLI) {
        crashesBy
            .computeIfAbsent(content, key -> new ArrayList<>())
            .add(startedAt.get(request.id()));
        endConnections(grants.get(request.id()), true);
      } else if (since >= (content == POPULAR ? popularMillis : SERVE_MILLIS) * MILLI) {
        serve(request);
      }
    }
    for (RequestFingerprint cause : suspects.findCauses(now)) {
      quarantined.add(cause);
      quarantine.add(cause, suspects.strikesOf(cause), now);
      scheduler.refuseIsolated(cause, 1_000);
    }
    boolean isServing = backAt.size() < endpoints;
    boolean isRefused = isServing && quarantine.mustRefuse(fingerprint(POPULAR), now);
    popularRefusedMillis += isRefused ? millis : 0;
    scheduler.tick(now);
  }

  private void serve(SlotRequest request) {
    long sentAt = startedAt.get(request.id());
    String endpointId = grants.get(request.id());
    running.remove(request.id());
    scheduler.release("s", endpointId, request.id(), Outcome.SERVED, 250, now);
    suspects.responded(endpointId + instances.get(endpointId), sentAt, now);
    suspects.served(fingerprint(contents.get(request.id())));
    quarantine.release(fingerprint(contents.get(request.id())));
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
        long content = contents.get(request.id());
        ended.add(content);
        if (trials.remove(request.id())) {
          quarantine.strike(fingerprint(content), now);
        }
      }
    }
    for (long content : ended) {
      if (quarantine.contains(fingerprint(content))) {
        suspects.explain(fingerprint(content), instance, now);
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
    assertThat(crashesBy.get(GUILTY)).hasSizeLessThanOrEqualTo(MAX_CRASHES);
    assertThat((double) served / sound).isGreaterThan(0.95);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void crashesAndResetsForOtherReasonsQuarantineNoSoundRequest(long seed) {
    replay(seed, true);
    assertThat(quarantined).containsExactly(fingerprint(GUILTY));
    assertThat(crashesBy.get(GUILTY)).hasSizeLessThanOrEqualTo(MAX_CRASHES);
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
    assertThat(crashesBy.get(GUILTY)).hasSizeLessThanOrEqualTo(MAX_CRASHES);
  }

  /** Returns how often a request was sent later than the stable window after its third crash. */
  private long lateRuns(long content) {
    List<Long> sentAt = crashesBy.get(content);
    long third = sentAt.size() < 3 ? now : sentAt.get(2) + START_MILLIS * MILLI;
    return sentAt.stream().filter(at -> at - third > STABLE_WINDOW_MILLIS * MILLI).count();
  }

  /**
   * A sound request that many callers send alike runs at endpoints that lose power together, beside
   * requests that crash endpoints: it must be served again soon, and the others must be contained.
   */
  @ParameterizedTest
  @CsvSource({
    "0, 3", "0, 8", "0, 24", "1, 3", "1, 8", "1, 24", "2, 8", "2, 30", "5, 8", "5, 30",
  })
  void popularRequestIsServedAgainAndCrashingOnesAreContained(int crashing, int count) {
    endpoints = count;
    guiltyContents = crashing;
    popularMillis = 2_000;
    popularShare = 0.5;
    random = new SplittableRandom(crashing * 100L + count);
    for (int i = 0; i < endpoints; i++) {
      scheduler.put(instance("e" + i), now);
    }
    boolean hasLostPower = false;
    while (now < RUN_MILLIS * MILLI) {
      boolean isPopular = random.nextDouble() < popularShare;
      submit(isPopular ? POPULAR : random.nextInt(differentContents));
      if (!hasLostPower && now > 10_000 * MILLI) {
        hasLostPower = true;
        for (int i = 0; i < Math.max(3, endpoints / 4); i++) {
          if (!backAt.containsKey("e" + i)) {
            endConnections("e" + i, true);
          }
        }
      }
      step(Math.max(5, 800 / (endpoints * SLOTS)));
    }
    System.out.printf(
        "%d crashing, %d endpoints: %d of %d popular ones refused, in %d ms; runs/late %s%n",
        crashing,
        count,
        popularRefused,
        popularSent,
        popularRefusedMillis,
        crashesBy.keySet().stream()
            .map(each -> crashesBy.get(each).size() + "/" + lateRuns(each))
            .toList());
    assertThat(quarantine.contains(fingerprint(POPULAR))).isFalse();
    assertThat(popularRefusedMillis).isLessThanOrEqualTo(STABLE_WINDOW_MILLIS);
    crashesBy.keySet().forEach(each -> assertThat(lateRuns(each)).isLessThanOrEqualTo(3));
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
    scheduler.refuseIsolated(fingerprint(5), 1_000);
    assertThat(refusals.get(2L).reason()).isEqualTo(SlotRefusal.Reason.REQUEST_QUARANTINED);
  }
}
