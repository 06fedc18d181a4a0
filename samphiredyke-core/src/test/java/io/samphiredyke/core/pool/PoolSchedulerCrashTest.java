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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Replays requests of which some have a part that crashes each endpoint, with other requests beside
 * them, on endpoints that restart after some seconds.
 */
class PoolSchedulerCrashTest extends PoolSchedulerFixture {

  private static final long SHARED = 1;
  private static final long CRASHING = 66;
  private static final int ENDPOINTS = 8;
  private static final long START_MILLIS = 120;
  private static final long SERVE_MILLIS = 400;
  private static final long DOWN_MILLIS = 3_000;
  private static final int RUN_MILLIS = 60_000;

  /** Crashes that may happen in all: those needed to find the part, and those under way. */
  private static final int MAX_CRASHES = 5 + 3;

  private final SplittableRandom random = new SplittableRandom(11);
  private final Map<Long, SlotRequest> running = new HashMap<>();
  private final Map<Long, Long> startedAt = new HashMap<>();
  private final Map<String, Long> backAt = new HashMap<>();
  private final Map<String, Integer> instances = new HashMap<>();
  private final Set<Long> crashing = new HashSet<>();
  private final Set<Long> quarantined = new HashSet<>();
  private int crashes;
  private int served;
  private int sound;
  private long now;

  @Override
  public void granted(SlotRequest request, String endpointId) {
    super.granted(request, endpointId);
    running.put(request.id(), request);
    startedAt.put(request.id(), now);
  }

  @BeforeEach
  void listen() {
    scheduler.setQuarantineListener(
        new QuarantineListener() {
          @Override
          public void quarantined(String service, long partId, PartQuarantine.Entry entry) {
            quarantined.add(partId);
          }

          @Override
          public void released(long partId) {
            quarantined.remove(partId);
          }
        });
  }

  private EndpointRecord instance(String id) {
    int number = instances.merge(id, 1, Integer::sum);
    return new EndpointRecord(id, "s", "10.0.0.1:80", "a", 4, false, 0, 1, number);
  }

  private SlotRequest prompt(long id, boolean isCrashing) {
    List<PromptPart> parts = new ArrayList<>();
    parts.add(new PromptPart(SHARED, 60));
    parts.add(new PromptPart(10 + random.nextInt(20), 500));
    if (isCrashing) {
      parts.add(1 + random.nextInt(2), new PromptPart(CRASHING, 500));
    }
    parts.add(new PromptPart(1_000_000 + id, 500));
    return new SlotRequest(
        id,
        "host",
        "s",
        0,
        1,
        new WorkEstimate(1_500, 60, parts),
        "",
        0,
        false,
        Set.of(),
        now + 800 * MILLI,
        now + 4_000 * MILLI);
  }

  private void step(long millis) {
    now += millis * MILLI;
    backAt
        .entrySet()
        .removeIf(
            entry -> {
              boolean isBack = entry.getValue() <= now;
              if (isBack) {
                scheduler.put(instance(entry.getKey()), now);
              }
              return isBack;
            });
    for (SlotRequest request : List.copyOf(running.values())) {
      long since = now - startedAt.getOrDefault(request.id(), now);
      if (!running.containsKey(request.id())) {
        continue;
      }
      if (crashing.contains(request.id()) && since >= START_MILLIS * MILLI) {
        crash(grants.get(request.id()));
      } else if (since >= SERVE_MILLIS * MILLI) {
        end(request, Outcome.SERVED);
        served++;
      }
    }
    scheduler.tick(now);
  }

  private void crash(String endpointId) {
    crashes++;
    for (SlotRequest request : List.copyOf(running.values())) {
      if (endpointId.equals(grants.get(request.id()))) {
        boolean begun = now - startedAt.get(request.id()) > START_MILLIS * MILLI;
        boolean isCause = crashing.contains(request.id());
        end(request, begun && !isCause ? Outcome.FAILED : Outcome.BROKEN_OFF);
      }
    }
    int number = instances.get(endpointId);
    scheduler.remove(new EndpointRecord(endpointId, "s", "", "a", 4, false, 0, 1, number));
    backAt.put(endpointId, now + DOWN_MILLIS * MILLI);
  }

  private void end(SlotRequest request, Outcome outcome) {
    running.remove(request.id());
    scheduler.release("s", grants.get(request.id()), request.id(), outcome, 300, now);
  }

  @Test
  void partThatCrashesEndpointsIsQuarantinedAndOthersAreServed() {
    for (int i = 0; i < ENDPOINTS; i++) {
      scheduler.put(instance("e" + i), now);
    }
    for (long id = 1; now < RUN_MILLIS * MILLI; id++) {
      boolean isCrashing = now > 5_000 * MILLI && id % 6 == 0;
      if (isCrashing) {
        crashing.add(id);
      } else {
        sound++;
      }
      scheduler.submit(prompt(id, isCrashing), now);
      step(35);
    }
    assertThat(quarantined).containsExactly(CRASHING);
    assertThat(crashes).isLessThanOrEqualTo(MAX_CRASHES);
    assertThat((double) served / sound).isGreaterThan(0.95);
  }

  @Test
  void waitingRequestsWithTheQuarantinedPartAreRefused() {
    scheduler.put(instance("e0"), now);
    for (long id = 1; id <= 4; id++) {
      scheduler.submit(prompt(id, false), now);
    }
    scheduler.submit(prompt(5, true), now);
    assertThat(scheduler.isWaiting("s", 5)).isTrue();
    scheduler.quarantine().add(CRASHING, new PartQuarantine.Entry(1, now + 1_000 * MILLI, false));
    scheduler.refuseQuarantined(now);
    assertThat(refusals.get(5L).reason()).isEqualTo(SlotRefusal.Reason.PROMPT_QUARANTINED);
    assertThat(refusals.get(5L).retryAfterMillis()).isEqualTo(1_000);
  }

  @Test
  void oneProbeIsAdmittedAfterTheQuarantineAndReleasesThePartIfItIsServed() {
    scheduler.put(instance("e0"), now);
    scheduler.quarantine().add(CRASHING, new PartQuarantine.Entry(1, now + 10 * MILLI, false));
    scheduler.submit(prompt(1, true), now);
    assertThat(refusals).containsKey(1L);
    now += 20 * MILLI;
    scheduler.submit(prompt(2, true), now);
    scheduler.submit(prompt(3, true), now);
    assertThat(grants).containsOnlyKeys(2L);
    assertThat(refusals).containsKey(3L);
    end(running.get(2L), Outcome.SERVED);
    scheduler.submit(prompt(4, true), now);
    assertThat(grants).containsKey(4L);
    assertThat(scheduler.quarantine().size()).isZero();
  }

  @Test
  void probeThatCrashesExtendsTheQuarantine() {
    scheduler.put(instance("e0"), now);
    scheduler.quarantine().add(CRASHING, new PartQuarantine.Entry(1, now, false));
    scheduler.submit(prompt(1, true), now);
    crashing.add(1L);
    crash(grants.get(1L));
    assertThat(quarantined).containsExactly(CRASHING);
    PartQuarantine.Entry entry = scheduler.quarantine().find(CRASHING);
    assertThat(entry).isNotNull();
    assertThat(entry.strikes()).isEqualTo(2);
  }
}
