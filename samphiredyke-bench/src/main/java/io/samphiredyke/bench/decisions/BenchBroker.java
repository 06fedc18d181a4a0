package io.samphiredyke.bench.decisions;

import io.samphiredyke.core.broker.BrokerDecision;
import io.samphiredyke.core.broker.BrokerOptions;
import io.samphiredyke.core.broker.BrokerStatus;
import io.samphiredyke.core.broker.EndpointBroker;
import io.samphiredyke.core.broker.RefusalReason;
import io.samphiredyke.core.broker.SlotRefusal;
import io.samphiredyke.core.invariant.InvariantChecker;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;

/** A broker process: the production broker, its timer and the messages to entries. */
final class BenchBroker {

  private final String endpoint;
  private final ModelClock clock;
  private final Tally tally;
  private final Consumer<BrokerDecision> outbox;
  private EndpointBroker broker;
  private long tickAt = Long.MAX_VALUE;

  BenchBroker(String endpoint, ModelClock clock, Tally tally, Consumer<BrokerDecision> outbox) {
    this.endpoint = endpoint;
    this.clock = clock;
    this.tally = tally;
    this.outbox = outbox;
    broker = create();
  }

  private EndpointBroker create() {
    return new EndpointBroker(
        endpoint, BrokerOptions.builder().build(), InvariantChecker.throwing());
  }

  BrokerStatus status() {
    return broker.status(clock.now());
  }

  /** Replaces the broker by one without memory, as after the loss of its host. */
  void restart(BrokerStatus remembered) {
    broker = create();
    broker.restoreEstimates(remembered);
    tickAt = Long.MAX_VALUE;
  }

  /** Runs one event of the broker and sends its decisions. */
  void handle(Function<EndpointBroker, List<BrokerDecision>> event) {
    for (BrokerDecision decision : event.apply(broker)) {
      checkOrder(decision);
      outbox.accept(decision);
    }
    scheduleTick();
  }

  private void checkOrder(BrokerDecision decision) {
    if (!(decision instanceof SlotRefusal refuse) || refuse.reason() == RefusalReason.DEADLINE) {
      return;
    }
    List<Integer> queued = status().queuedByTier();
    int lower = 0;
    for (int rank = refuse.request().tierRank() + 1; rank < queued.size(); rank++) {
      lower += queued.get(rank);
    }
    if (lower > 0) {
      tally.inversion();
    }
  }

  private void scheduleTick() {
    long next = broker.nextTick(clock.now());
    if (next >= tickAt) {
      return;
    }
    tickAt = next;
    clock.at(
        next,
        () -> {
          if (tickAt == next) {
            tickAt = Long.MAX_VALUE;
            handle(each -> each.tick(clock.now()));
          }
        });
  }
}
