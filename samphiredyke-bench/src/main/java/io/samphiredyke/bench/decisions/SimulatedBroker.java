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

/** Simulated broker process: the production broker, its timer and its messages to entries. */
final class SimulatedBroker {

  private final String endpoint;
  private final SimulatedClock clock;
  private final OutcomeStatistics statistics;
  private final Consumer<BrokerDecision> decisionSink;
  private EndpointBroker broker;
  private long scheduledTickAt = Long.MAX_VALUE;

  SimulatedBroker(
      String endpoint,
      SimulatedClock clock,
      OutcomeStatistics statistics,
      Consumer<BrokerDecision> decisionSink) {
    this.endpoint = endpoint;
    this.clock = clock;
    this.statistics = statistics;
    this.decisionSink = decisionSink;
    broker = create();
  }

  private EndpointBroker create() {
    return new EndpointBroker(
        endpoint, BrokerOptions.builder().build(), InvariantChecker.throwing());
  }

  BrokerStatus status() {
    return broker.status(clock.now());
  }

  /**
   * Replaces the broker with an empty one that knows only the last status, as after a host loss.
   */
  void restart(BrokerStatus lastStatus) {
    broker = create();
    broker.restoreEstimates(lastStatus);
    scheduledTickAt = Long.MAX_VALUE;
  }

  /** Applies an event to the broker and sends the resulting decisions. */
  void handle(Function<EndpointBroker, List<BrokerDecision>> event) {
    for (BrokerDecision decision : event.apply(broker)) {
      checkTierInversion(decision);
      decisionSink.accept(decision);
    }
    scheduleTick();
  }

  /** Records an inversion if a request is refused while requests of lower tiers are queued. */
  private void checkTierInversion(BrokerDecision decision) {
    if (!(decision instanceof SlotRefusal refusal) || refusal.reason() == RefusalReason.DEADLINE) {
      return;
    }
    List<Integer> queued = status().queuedByTier();
    int queuedInLowerTiers = 0;
    for (int rank = refusal.request().tierRank() + 1; rank < queued.size(); rank++) {
      queuedInLowerTiers += queued.get(rank);
    }
    if (queuedInLowerTiers > 0) {
      statistics.recordInversion();
    }
  }

  private void scheduleTick() {
    long next = broker.nextTick(clock.now());
    if (next >= scheduledTickAt) {
      return;
    }
    scheduledTickAt = next;
    clock.at(
        next,
        () -> {
          if (scheduledTickAt == next) {
            scheduledTickAt = Long.MAX_VALUE;
            handle(each -> each.tick(clock.now()));
          }
        });
  }
}
