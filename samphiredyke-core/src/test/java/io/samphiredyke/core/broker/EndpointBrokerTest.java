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

  private static SlotRequest.Builder request(String id, int tier) {
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
    broker.submit(request("a", 2).build(), 0);
    broker.submit(request("b", 2).build(), 0);
    assertThat(broker.submit(request("low", 3).build(), 0)).isEmpty();
    assertThat(broker.submit(request("high", 0).build(), 0)).isEmpty();
    SlotRequestKey ended = new SlotRequestKey("a", 0);
    Release release = new Release(ended, Release.Outcome.COMPLETED, SECOND / 10, SECOND / 50, 10);
    assertThat(grantedIds(broker.release(release, SECOND))).containsExactly("high");
  }

  @Test
  void fullQueueDisplacesTheLatestRequestOfTheLowestTier() {
    broker.submit(request("a", 0).build(), 0);
    broker.submit(request("b", 0).build(), 0);
    for (String id : List.of("early", "mid", "late")) {
      broker.submit(request(id, 3).build(), 0);
    }
    broker.submit(request("other", 2).build(), 0);
    List<BrokerDecision> decisions = broker.submit(request("high", 1).build(), 0);
    assertThat(decisions).hasSize(1);
    assertThat(decisions.get(0))
        .isInstanceOfSatisfying(
            SlotRefusal.class,
            refusal -> {
              assertThat(refusal.request().requestId()).isEqualTo("late");
              assertThat(refusal.reason()).isEqualTo(RefusalReason.DISPLACED);
              assertThat(refusal.retryAfterNanos()).isPositive();
            });
  }

  @Test
  void requestThatCannotMeetItsDeadlineIsRefusedBeforeDispatch() {
    SlotRequest tooLong = request("a", 0).outputTokens(10_000).deadline(SECOND).build();
    assertThat(broker.submit(tooLong, 0))
        .singleElement()
        .isInstanceOfSatisfying(
            SlotRefusal.class, r -> assertThat(r.reason()).isEqualTo(RefusalReason.DEADLINE));
  }

  @Test
  void queuedRequestIsRefusedWhenItCanNoLongerMeetItsDeadline() {
    broker.submit(request("a", 0).build(), 0);
    broker.submit(request("b", 0).build(), 0);
    broker.submit(request("c", 0).deadline(2 * SECOND).build(), 0);
    assertThat(broker.tick(SECOND)).isEmpty();
    assertThat(broker.tick(2 * SECOND)).singleElement().isInstanceOf(SlotRefusal.class);
  }

  @Test
  void heldBackRequestIsGrantedWhenItsHoldOffEnds() {
    assertThat(broker.submit(request("a", 0).grantNotBefore(SECOND).build(), 0)).isEmpty();
    assertThat(broker.tick(SECOND - 1)).isEmpty();
    assertThat(grantedIds(broker.tick(SECOND))).containsExactly("a");
  }

  @Test
  void drainingEndpointRefusesQueuedAndNewRequests() {
    broker.submit(request("a", 0).build(), 0);
    broker.submit(request("b", 0).build(), 0);
    broker.submit(request("c", 0).build(), 0);
    assertThat(broker.setDraining(true, 1)).singleElement().isInstanceOf(SlotRefusal.class);
    assertThat(broker.submit(request("d", 0).build(), 2))
        .singleElement()
        .isInstanceOf(SlotRefusal.class);
    assertThat(broker.status(2).inFlight()).isEqualTo(2);
  }

  @Test
  void restoredGrantsCountAgainstTheLimit() {
    List<HeldGrant> held =
        List.of(
            new HeldGrant(request("a", 0).build(), 0, false),
            new HeldGrant(request("b", 0).build(), 0, false));
    broker.restoreGrants(held, 0);
    assertThat(broker.submit(request("c", 0).build(), 1)).isEmpty();
    assertThat(grantedIds(broker.withdraw(new SlotRequestKey("a", 0), 2))).containsExactly("c");
  }

  @Test
  void requestsOfLostRequesterAreDroppedAndItsGrantsExpire() {
    broker.submit(request("a", 0).build(), 0);
    broker.submit(request("b", 0).build(), 0);
    broker.submit(request("c", 0).build(), 0);
    broker.requesterLost("entry-1", SECOND);
    assertThat(broker.submit(request("d", 0).requester("entry-2").build(), SECOND)).isEmpty();
    assertThat(grantedIds(broker.tick(10 * SECOND))).containsExactly("d");
  }

  @Test
  void customersOfOneTierShareByWeight() {
    EndpointBroker fair = broker(1, 1_000);
    for (int index = 0; index < 200; index++) {
      fair.submit(request("big-" + index, 1).customer("big").customerWeight(3).build(), 0);
      fair.submit(request("small-" + index, 1).customer("small").build(), 0);
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
  void randomEventsBreakNoInvariantAndLoseNoRequest() {
    Random random = new Random(7);
    EndpointBroker randomized = broker(4, 16);
    Map<String, SlotRequest> pending = new HashMap<>();
    List<SlotRequest> granted = new ArrayList<>();
    for (int step = 0; step < 20_000; step++) {
      long now = step * SECOND / 20;
      List<BrokerDecision> decisions;
      if (random.nextInt(3) > 0 || granted.isEmpty()) {
        SlotRequest request =
            request("r" + step, random.nextInt(4))
                .customer("c" + random.nextInt(5))
                .outputTokens(1 + random.nextInt(200))
                .deadline(now + (1 + random.nextInt(20)) * SECOND)
                .grantNotBefore(now + random.nextInt(3) * SECOND / 10)
                .build();
        pending.put(request.requestId(), request);
        decisions = randomized.submit(request, now);
      } else {
        SlotRequest ended = granted.remove(random.nextInt(granted.size()));
        Release release =
            new Release(ended.key(), Release.Outcome.COMPLETED, SECOND / 5, SECOND / 40, 50);
        decisions = randomized.release(release, now);
      }
      for (BrokerDecision decision : decisions) {
        assertThat(pending.remove(decision.request().requestId())).isNotNull();
        if (decision instanceof Grant) {
          granted.add(decision.request());
        }
      }
      BrokerStatus status = randomized.status(now);
      assertThat(status.inFlight()).isEqualTo(granted.size()).isLessThanOrEqualTo(4);
      int queued = status.queuedByTier().stream().mapToInt(Integer::intValue).sum();
      assertThat(queued).isEqualTo(pending.size()).isLessThanOrEqualTo(16);
    }
  }
}
