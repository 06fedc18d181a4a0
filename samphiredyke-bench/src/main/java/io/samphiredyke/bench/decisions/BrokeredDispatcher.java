package io.samphiredyke.bench.decisions;

import io.samphiredyke.core.broker.BrokerDecision;
import io.samphiredyke.core.broker.BrokerStatus;
import io.samphiredyke.core.broker.EndpointBroker;
import io.samphiredyke.core.broker.HeldGrant;
import io.samphiredyke.core.broker.SlotRequest;
import io.samphiredyke.core.broker.SlotRequestKey;
import io.samphiredyke.core.routing.CacheEvent;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;

/** Dispatcher that connects simulated entries and brokers with delayed messages. */
final class BrokeredDispatcher implements Dispatcher {

  private static final int ENTRIES = 6;
  private static final long NETWORK_DELAY_NANOS = SimulatedClock.seconds(0.0005);
  private static final long CACHE_EVENT_INTERVAL_NANOS = SimulatedClock.seconds(2);
  private static final long CACHE_EVENT_LAG_NANOS = SimulatedClock.seconds(2);
  private static final double CACHE_EVENT_LOSS = 0.1;
  private static final long FAILURE_DETECTION_NANOS = SimulatedClock.seconds(2);
  private static final long STATUS_INTERVAL_NANOS = SimulatedClock.seconds(0.05);

  private final Map<String, SimulatedEngine> engines = new LinkedHashMap<>();
  private final Map<String, SimulatedBroker> brokers = new LinkedHashMap<>();
  private final List<SimulatedEntry> entries = new ArrayList<>();
  private final Map<String, BrokerStatus> lastStatuses = new HashMap<>();
  private final Map<String, Long> lastCacheEventSequences = new HashMap<>();
  private final SimulatedClock clock;
  private final Random random;
  private final BrokeredOptions options;
  private int nextEntry;

  BrokeredDispatcher(
      List<SimulatedEngine> engineModels,
      SimulatedClock clock,
      OutcomeStatistics statistics,
      long seed,
      BrokeredOptions options) {
    this.clock = clock;
    this.random = new Random(seed);
    this.options = options;
    for (SimulatedEngine engine : engineModels) {
      String name = engine.profile().name();
      engines.put(name, engine);
      brokers.put(name, new SimulatedBroker(name, clock, statistics, this::deliverDecision));
    }
    for (int index = 0; index < ENTRIES; index++) {
      entries.add(new SimulatedEntry("entry-" + index, this, options, clock));
    }
    clock.after(CACHE_EVENT_INTERVAL_NANOS, this::publishCacheEvents);
    clock.after(STATUS_INTERVAL_NANOS, this::publishStatuses);
  }

  static Dispatcher.Factory factory(BrokeredOptions options) {
    return (engines, clock, statistics, seed) ->
        new BrokeredDispatcher(engines, clock, statistics, seed, options);
  }

  BrokerStatus status(String endpoint) {
    SimulatedBroker broker = brokers.get(endpoint);
    if (broker == null) {
      throw new IllegalArgumentException("no broker for " + endpoint);
    }
    return broker.status();
  }

  List<String> liveEndpoints() {
    List<String> live = new ArrayList<>();
    for (Map.Entry<String, SimulatedEngine> each : engines.entrySet()) {
      if (!each.getValue().isCrashed()) {
        live.add(each.getKey());
      }
    }
    return live;
  }

  @Override
  public void arrive(RequestRun run) {
    nextLiveEntry().arrive(run);
  }

  @Override
  public void entryCrashed(int index) {
    SimulatedEntry entry = entries.get(index);
    List<RequestRun> undispatched = entry.crash();
    clock.after(FAILURE_DETECTION_NANOS, () -> failOver(entry, undispatched));
  }

  void submit(SlotRequest slotRequest) {
    send(slotRequest.endpoint(), broker -> broker.submit(slotRequest, clock.now()));
  }

  void withdraw(String endpoint, SlotRequestKey key) {
    send(endpoint, broker -> broker.withdraw(key, clock.now()));
  }

  void send(String endpoint, Function<EndpointBroker, List<BrokerDecision>> event) {
    SimulatedBroker broker = brokers.get(endpoint);
    if (broker != null) {
      clock.after(NETWORK_DELAY_NANOS, () -> broker.handle(event));
    }
  }

  void dispatch(RequestRun run, String endpoint) {
    SimulatedEngine engine = engines.get(endpoint);
    if (engine == null) {
      return;
    }
    clock.after(
        NETWORK_DELAY_NANOS,
        () -> {
          if (engine.isCrashed()) {
            run.failed(clock.now());
            return;
          }
          run.dispatch(engine);
        });
  }

  private void deliverDecision(BrokerDecision decision) {
    for (SimulatedEntry entry : entries) {
      if (!entry.incarnation().equals(decision.request().requester()) || entry.isCrashed()) {
        continue;
      }
      clock.after(NETWORK_DELAY_NANOS, () -> entry.handleDecision(decision));
      return;
    }
  }

  /**
   * Handles the detected loss of an entry: releases its slot requests, restarts the brokers that
   * ran on its host and hands its undispatched requests to other entries.
   */
  private void failOver(SimulatedEntry crashedEntry, List<RequestRun> undispatched) {
    for (SimulatedBroker broker : brokers.values()) {
      broker.handle(each -> each.requesterLost(crashedEntry.incarnation(), clock.now()));
    }
    int index = entries.indexOf(crashedEntry);
    List<String> names = List.copyOf(brokers.keySet());
    for (int position = index; position < names.size(); position += ENTRIES) {
      restartBroker(names.get(position));
    }
    for (RequestRun run : undispatched) {
      if (!run.isDone()) {
        nextLiveEntry().arrive(run);
      }
    }
  }

  private void restartBroker(String endpoint) {
    SimulatedBroker broker = brokers.get(endpoint);
    BrokerStatus lastStatus = lastStatuses.get(endpoint);
    if (broker == null || lastStatus == null) {
      return;
    }
    broker.restart(lastStatus);
    for (SimulatedEntry entry : entries) {
      if (!entry.isCrashed()) {
        List<HeldGrant> heldGrants = entry.brokerChanged(endpoint);
        broker.handle(each -> each.restoreGrants(heldGrants, clock.now()));
      }
    }
  }

  private SimulatedEntry nextLiveEntry() {
    while (true) {
      SimulatedEntry entry = entries.get(nextEntry++ % entries.size());
      if (!entry.isCrashed()) {
        return entry;
      }
    }
  }

  private void publishStatuses() {
    for (Map.Entry<String, SimulatedBroker> each : brokers.entrySet()) {
      BrokerStatus status = each.getValue().status();
      lastStatuses.put(each.getKey(), status);
      for (SimulatedEntry entry : entries) {
        clock.after(NETWORK_DELAY_NANOS, () -> entry.ranking().updateStatus(status));
      }
    }
    clock.after(STATUS_INTERVAL_NANOS, this::publishStatuses);
  }

  private void publishCacheEvents() {
    for (Map.Entry<String, SimulatedEngine> each : engines.entrySet()) {
      long after = lastCacheEventSequences.getOrDefault(each.getKey(), 0L);
      long until = clock.now() - CACHE_EVENT_LAG_NANOS;
      for (var event : each.getValue().model().cacheEvents(after, until)) {
        lastCacheEventSequences.put(each.getKey(), event.sequence());
        if (random.nextDouble() < CACHE_EVENT_LOSS) {
          continue;
        }
        CacheEvent.Kind kind =
            event.kind() == io.samphiredyke.standins.engine.CacheEvent.Kind.STORED
                ? CacheEvent.Kind.STORED
                : CacheEvent.Kind.REMOVED;
        CacheEvent translated = new CacheEvent(event.sequence(), kind, event.block());
        for (SimulatedEntry entry : entries) {
          entry.cacheEvent(each.getKey(), translated);
        }
      }
    }
    clock.after(CACHE_EVENT_INTERVAL_NANOS, this::publishCacheEvents);
  }
}
