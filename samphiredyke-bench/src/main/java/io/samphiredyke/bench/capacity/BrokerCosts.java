package io.samphiredyke.bench.capacity;

import io.samphiredyke.core.broker.BrokerOptions;
import io.samphiredyke.core.broker.EndpointBroker;
import io.samphiredyke.core.broker.Release;
import io.samphiredyke.core.broker.SlotRequest;
import io.samphiredyke.core.invariant.InvariantChecker;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;

/** Costs of brokers: heap for each endpoint and waiting claim, time for each claim. */
final class BrokerCosts {

  private static final int BROKERS = 2_000;
  private static final int WAITING = 1_000;
  private static final int ROUNDS = 20_000;
  private static final long FIRST_TOKEN_NANOS = 200_000_000;
  private static final long TOKEN_INTERVAL_NANOS = 30_000_000;
  private static final long DEADLINE_NANOS = 60_000_000_000L;

  private final Meter meter;
  private final String token;
  private final BrokerOptions options = BrokerOptions.builder().build();

  BrokerCosts(Meter meter) {
    Samples samples = new Samples();
    this.meter = meter;
    this.token = samples.tickets().encode(samples.ticket(1));
  }

  void measure() {
    meter.heap("broker of an endpoint", BROKERS, this::broker);
    measureWaiting();
    EndpointBroker broker = broker(1);
    meter.time("broker: claim, grant, first token, release", ROUNDS, i -> round(broker, i));
  }

  private EndpointBroker broker(int number) {
    return new EndpointBroker(Samples.endpoint(number), options, InvariantChecker.throwing());
  }

  private void measureWaiting() {
    List<EndpointBroker> brokers = new ArrayList<>();
    int count = 10;
    for (int i = 0; i < count; i++) {
      brokers.add(broker(i));
    }
    long before = meter.usedHeap();
    for (EndpointBroker broker : brokers) {
      for (int i = 0; i < WAITING; i++) {
        broker.submit(claim(i, 0), 0);
      }
    }
    meter.addHeap("claim at a broker", (long) count * WAITING, meter.usedHeap() - before);
    Reference.reachabilityFence(brokers);
  }

  private void round(EndpointBroker broker, int number) {
    long now = number * 1_000_000L;
    SlotRequest claim = claim(number, now);
    broker.submit(claim, now);
    broker.firstToken(claim.key(), FIRST_TOKEN_NANOS, now);
    broker.release(
        new Release(
            claim.key(), Release.Outcome.COMPLETED, FIRST_TOKEN_NANOS, TOKEN_INTERVAL_NANOS, 200),
        now);
  }

  private SlotRequest claim(int number, long now) {
    return SlotRequest.builder()
        .requestId(token + "." + number)
        .attempt(1)
        .requester("00112233445566778899aabbccddeeff")
        .endpoint(Samples.endpoint(1))
        .service(Samples.service(number % 28))
        .customer(Samples.customer(number % 990))
        .tierRank(number % 4)
        .customerWeight(1)
        .deadline(now + DEADLINE_NANOS)
        .promptTokens(800)
        .outputTokens(200)
        .receivedAt(now)
        .grantNotBefore(now)
        .build();
  }
}
