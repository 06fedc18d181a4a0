package io.samphiredyke.core.broker;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.invariant.InvariantChecker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EndpointBrokerTest {

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private final EndpointBroker broker = broker(2, 4);

  private static EndpointBroker broker(int limit, int capacity) {
    BrokerOptions options =
        BrokerOptions.builder()
            .initialLimit(limit)
            .maximumLimit(limit)
            .queueCapacity(capacity)
            .build();
    return new EndpointBroker("engine-1", options, InvariantChecker.throwing());
  }

  private static SlotRequest.Builder claim(String id, int tier) {
    return SlotRequest.builder()
        .requestId(id)
        .requester("entry-1")
        .endpoint("engine-1")
        .customer("customer-1")
        .tierRank(tier)
        .deadline(600 * SECOND)
        .promptTokens(40)
        .outputTokens(10);
  }

  private List<String> grantedIds(List<BrokerDecision> decisions) {
    return decisions.stream()
        .filter(Grant.class::isInstance)
        .map(decision -> decision.request().requestId())
        .toList();
  }

  @Test
  void grantsUpToTheLimitAndThenInOrderOfTier() {
    broker.submit(claim("a", 2).build(), 0);
    broker.submit(claim("b", 2).build(), 0);
    assertThat(broker.submit(claim("low", 3).build(), 0)).isEmpty();
    assertThat(broker.submit(claim("high", 0).build(), 0)).isEmpty();
    SlotRequestKey ended = new SlotRequestKey("a", 0);
    Release release = new Release(ended, Release.Outcome.COMPLETED, SECOND / 10, SECOND / 50, 10);
    assertThat(grantedIds(broker.release(release, SECOND))).containsExactly("high");
  }

  @Test
  void fullQueueDisplacesTheLatestClaimOfTheLowestTier() {
    broker.submit(claim("a", 0).build(), 0);
    broker.submit(claim("b", 0).build(), 0);
    for (String id : List.of("early", "mid", "late")) {
      broker.submit(claim(id, 3).build(), 0);
    }
    broker.submit(claim("other", 2).build(), 0);
    List<BrokerDecision> decisions = broker.submit(claim("high", 1).build(), 0);
    assertThat(decisions).hasSize(1);
    assertThat(decisions.get(0))
        .isInstanceOfSatisfying(
            SlotRefusal.class,
            refuse -> {
              assertThat(refuse.request().requestId()).isEqualTo("late");
              assertThat(refuse.reason()).isEqualTo(RefusalReason.DISPLACED);
              assertThat(refuse.retryAfterNanos()).isPositive();
            });
  }

  @Test
  void claimThatCannotMeetItsDeadlineIsRefusedBeforeDispatch() {
    SlotRequest hopeless = claim("a", 0).outputTokens(10_000).deadline(SECOND).build();
    assertThat(broker.submit(hopeless, 0))
        .singleElement()
        .isInstanceOfSatisfying(
            SlotRefusal.class, r -> assertThat(r.reason()).isEqualTo(RefusalReason.DEADLINE));
  }

  @Test
  void queuedClaimIsRefusedWhenItsDeadlineCannotBeMetAnyMore() {
    broker.submit(claim("a", 0).build(), 0);
    broker.submit(claim("b", 0).build(), 0);
    broker.submit(claim("c", 0).deadline(2 * SECOND).build(), 0);
    assertThat(broker.tick(SECOND)).isEmpty();
    assertThat(broker.tick(2 * SECOND)).singleElement().isInstanceOf(SlotRefusal.class);
  }

  @Test
  void heldBackClaimIsGrantedWhenItsTimeHasCome() {
    assertThat(broker.submit(claim("a", 0).grantNotBefore(SECOND).build(), 0)).isEmpty();
    assertThat(broker.tick(SECOND - 1)).isEmpty();
    assertThat(grantedIds(broker.tick(SECOND))).containsExactly("a");
  }

  @Test
  void leavingEndpointRefusesQueuedAndNewClaims() {
    broker.submit(claim("a", 0).build(), 0);
    broker.submit(claim("b", 0).build(), 0);
    broker.submit(claim("c", 0).build(), 0);
    assertThat(broker.setDraining(true, 1)).singleElement().isInstanceOf(SlotRefusal.class);
    assertThat(broker.submit(claim("d", 0).build(), 2))
        .singleElement()
        .isInstanceOf(SlotRefusal.class);
    assertThat(broker.status(2).inFlight()).isEqualTo(2);
  }

  @Test
  void adoptedGrantsCountAgainstTheLimit() {
    List<HeldGrant> held =
        List.of(
            new HeldGrant(claim("a", 0).build(), 0, false),
            new HeldGrant(claim("b", 0).build(), 0, false));
    broker.restoreGrants(held, 0);
    assertThat(broker.submit(claim("c", 0).build(), 1)).isEmpty();
    assertThat(grantedIds(broker.withdraw(new SlotRequestKey("a", 0), 2))).containsExactly("c");
  }

  @Test
  void claimsOfLostEntryAreDroppedAndItsGrantsExpire() {
    broker.submit(claim("a", 0).build(), 0);
    broker.submit(claim("b", 0).build(), 0);
    broker.submit(claim("c", 0).build(), 0);
    broker.requesterLost("entry-1", SECOND);
    assertThat(broker.submit(claim("d", 0).requester("entry-2").build(), SECOND)).isEmpty();
    assertThat(grantedIds(broker.tick(10 * SECOND))).containsExactly("d");
  }

  @Test
  void customersOfOneTierShareByWeight() {
    EndpointBroker fair = broker(1, 1_000);
    for (int index = 0; index < 200; index++) {
      fair.submit(claim("big-" + index, 1).customer("big").customerWeight(3).build(), 0);
      fair.submit(claim("small-" + index, 1).customer("small").build(), 0);
    }
    Map<String, Integer> granted = new HashMap<>();
    String running = "big-0";
    for (int index = 1; index <= 100; index++) {
      Release release =
          new Release(
              new SlotRequestKey(running, 0), Release.Outcome.COMPLETED, 0, SECOND / 100, 10);
      SlotRequest next = fair.release(release, index * SECOND / 10).get(0).request();
      granted.merge(next.customer(), 1, Integer::sum);
      running = next.requestId();
    }
    assertThat(granted.get("big")).isBetween(70, 80);
  }

  @Test
  void randomEventsBreakNoInvariantAndLoseNoClaim() {
    Random random = new Random(7);
    EndpointBroker any = broker(4, 16);
    Map<String, SlotRequest> open = new HashMap<>();
    List<SlotRequest> granted = new ArrayList<>();
    for (int step = 0; step < 20_000; step++) {
      long now = step * SECOND / 20;
      List<BrokerDecision> decisions;
      if (random.nextInt(3) > 0 || granted.isEmpty()) {
        SlotRequest claim =
            claim("r" + step, random.nextInt(4))
                .customer("c" + random.nextInt(5))
                .outputTokens(1 + random.nextInt(200))
                .deadline(now + (1 + random.nextInt(20)) * SECOND)
                .grantNotBefore(now + random.nextInt(3) * SECOND / 10)
                .build();
        open.put(claim.requestId(), claim);
        decisions = any.submit(claim, now);
      } else {
        SlotRequest ended = granted.remove(random.nextInt(granted.size()));
        Release release =
            new Release(ended.key(), Release.Outcome.COMPLETED, SECOND / 5, SECOND / 40, 50);
        decisions = any.release(release, now);
      }
      for (BrokerDecision decision : decisions) {
        assertThat(open.remove(decision.request().requestId())).isNotNull();
        if (decision instanceof Grant) {
          granted.add(decision.request());
        }
      }
      BrokerStatus status = any.status(now);
      assertThat(status.inFlight()).isEqualTo(granted.size()).isLessThanOrEqualTo(4);
      int queued = status.queuedByTier().stream().mapToInt(Integer::intValue).sum();
      assertThat(queued).isEqualTo(open.size()).isLessThanOrEqualTo(16);
    }
  }
}
