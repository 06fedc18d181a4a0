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

/** Entries and brokers with the production decision code, joined by delayed messages. */
final class BrokeredDispatcher implements Dispatcher {

  private static final int ENTRIES = 6;
  private static final long NETWORK_NANOS = ModelClock.seconds(0.0005);
  private static final long CACHE_EVENT_INTERVAL_NANOS = ModelClock.seconds(2);
  private static final long CACHE_EVENT_LAG_NANOS = ModelClock.seconds(2);
  private static final double CACHE_EVENT_LOSS = 0.1;
  private static final long DETECTION_NANOS = ModelClock.seconds(2);
  private static final long HINT_INTERVAL_NANOS = ModelClock.seconds(0.05);

  private final Map<String, BenchEngine> engines = new LinkedHashMap<>();
  private final Map<String, BenchBroker> brokers = new LinkedHashMap<>();
  private final List<BenchEntry> entries = new ArrayList<>();
  private final Map<String, BrokerStatus> lastHints = new HashMap<>();
  private final Map<String, Long> seenCacheEvents = new HashMap<>();
  private final ModelClock clock;
  private final Random random;
  private final BrokeredOptions options;
  private int nextEntry;

  BrokeredDispatcher(
      List<BenchEngine> engineList,
      ModelClock clock,
      Tally tally,
      long seed,
      BrokeredOptions options) {
    this.clock = clock;
    this.random = new Random(seed);
    this.options = options;
    for (BenchEngine engine : engineList) {
      String name = engine.profile().name();
      engines.put(name, engine);
      brokers.put(name, new BenchBroker(name, clock, tally, this::deliver));
    }
    for (int index = 0; index < ENTRIES; index++) {
      entries.add(new BenchEntry("entry-" + index, this, options, clock));
    }
    clock.after(CACHE_EVENT_INTERVAL_NANOS, this::publishCacheEvents);
    clock.after(HINT_INTERVAL_NANOS, this::publishHints);
  }

  static Dispatcher.Factory factory(BrokeredOptions options) {
    return (engines, clock, tally, seed) ->
        new BrokeredDispatcher(engines, clock, tally, seed, options);
  }

  BrokerStatus status(String endpoint) {
    BenchBroker broker = brokers.get(endpoint);
    if (broker == null) {
      throw new IllegalArgumentException("no broker for " + endpoint);
    }
    return broker.status();
  }

  List<String> liveEndpoints() {
    List<String> live = new ArrayList<>();
    for (Map.Entry<String, BenchEngine> each : engines.entrySet()) {
      if (!each.getValue().isDead()) {
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
  public void entryDies(int index) {
    BenchEntry entry = entries.get(index);
    List<RequestRun> undispatched = entry.die();
    clock.after(DETECTION_NANOS, () -> takeOver(entry, undispatched));
  }

  void claim(SlotRequest claim) {
    send(claim.endpoint(), broker -> broker.submit(claim, clock.now()));
  }

  void withdraw(String endpoint, SlotRequestKey key) {
    send(endpoint, broker -> broker.withdraw(key, clock.now()));
  }

  void send(String endpoint, Function<EndpointBroker, List<BrokerDecision>> event) {
    BenchBroker broker = brokers.get(endpoint);
    if (broker != null) {
      clock.after(NETWORK_NANOS, () -> broker.handle(event));
    }
  }

  void dispatch(RequestRun run, String endpoint) {
    BenchEngine engine = engines.get(endpoint);
    if (engine == null) {
      return;
    }
    clock.after(
        NETWORK_NANOS,
        () -> {
          if (engine.isDead()) {
            run.failed(clock.now());
            return;
          }
          run.dispatch(engine);
        });
  }

  private void deliver(BrokerDecision decision) {
    for (BenchEntry entry : entries) {
      if (!entry.incarnation().equals(decision.request().requester()) || entry.isDead()) {
        continue;
      }
      clock.after(NETWORK_NANOS, () -> entry.decided(decision));
      return;
    }
  }

  /** The rest of the system notices that an entry, and the broker that it ran, are gone. */
  private void takeOver(BenchEntry lost, List<RequestRun> undispatched) {
    for (BenchBroker broker : brokers.values()) {
      broker.handle(each -> each.requesterLost(lost.incarnation(), clock.now()));
    }
    int index = entries.indexOf(lost);
    List<String> names = List.copyOf(brokers.keySet());
    for (int each = index; each < names.size(); each += ENTRIES) {
      moveBroker(names.get(each));
    }
    for (RequestRun run : undispatched) {
      if (!run.isDone()) {
        nextLiveEntry().arrive(run);
      }
    }
  }

  private void moveBroker(String endpoint) {
    BenchBroker broker = brokers.get(endpoint);
    BrokerStatus remembered = lastHints.get(endpoint);
    if (broker == null || remembered == null) {
      return;
    }
    broker.restart(remembered);
    for (BenchEntry entry : entries) {
      if (!entry.isDead()) {
        List<HeldGrant> held = entry.brokerChanged(endpoint);
        broker.handle(each -> each.restoreGrants(held, clock.now()));
      }
    }
  }

  private BenchEntry nextLiveEntry() {
    while (true) {
      BenchEntry entry = entries.get(nextEntry++ % entries.size());
      if (!entry.isDead()) {
        return entry;
      }
    }
  }

  private void publishHints() {
    for (Map.Entry<String, BenchBroker> each : brokers.entrySet()) {
      BrokerStatus status = each.getValue().status();
      lastHints.put(each.getKey(), status);
      for (BenchEntry entry : entries) {
        clock.after(NETWORK_NANOS, () -> entry.choice().updateStatus(status));
      }
    }
    clock.after(HINT_INTERVAL_NANOS, this::publishHints);
  }

  private void publishCacheEvents() {
    for (Map.Entry<String, BenchEngine> each : engines.entrySet()) {
      long after = seenCacheEvents.getOrDefault(each.getKey(), 0L);
      long until = clock.now() - CACHE_EVENT_LAG_NANOS;
      for (var event : each.getValue().model().cacheEvents(after, until)) {
        seenCacheEvents.put(each.getKey(), event.sequence());
        if (random.nextDouble() < CACHE_EVENT_LOSS) {
          continue;
        }
        CacheEvent.Kind kind =
            event.kind() == io.samphiredyke.standins.engine.CacheEvent.Kind.STORED
                ? CacheEvent.Kind.STORED
                : CacheEvent.Kind.REMOVED;
        CacheEvent translated = new CacheEvent(event.sequence(), kind, event.block());
        for (BenchEntry entry : entries) {
          entry.cacheEvent(each.getKey(), translated);
        }
      }
    }
    clock.after(CACHE_EVENT_INTERVAL_NANOS, this::publishCacheEvents);
  }
}
