package io.samphiredyke.core.orders;

import io.samphiredyke.core.config.Placement;
import io.samphiredyke.core.invariant.InvariantChecker;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Hosts, a log and engines on one virtual time with faults drawn from a seed. */
final class OrderSimulation {

  static final long MILLI = 1_000_000L;
  static final long SECOND = 1_000 * MILLI;

  private static final long TICK = 200 * MILLI;
  private static final int ENGINES = 6;
  private static final int HOSTS = 4;

  /** How the run deviates from one that must hold. */
  record Variation(OrderSettings settings, long maxFlight, boolean readsBack) {}

  private record Event(long at, long number, Runnable action) {}

  private final Random random;
  private final Variation variation;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private final List<LeaseEntry> log = new ArrayList<>();
  private final List<Host> hosts = new ArrayList<>();
  private final Map<String, FakeEngine> engines = new TreeMap<>();
  private final Map<String, Placement> placements = new TreeMap<>();
  private int logFirst;
  private long eventNumber;
  private long outageUntil;
  private long assignments;
  private boolean hasFaults = true;
  long now;
  int maxLoading;
  int appends;
  int lostAnswers;
  int pauses;
  int resets;

  OrderSimulation(long seed, Variation variation) {
    this.random = new Random(seed);
    this.variation = variation;
    for (int i = 0; i < ENGINES; i++) {
      FakeEngine engine = new FakeEngine("e" + i, i % 2 == 0);
      engines.put(engine.name, engine);
      placements.put(engine.name, placement(engine.name, 1));
    }
    for (int i = 0; i < HOSTS; i++) {
      hosts.add(new Host(i, 0));
    }
  }

  static OrderSettings.Builder settings() {
    return OrderSettings.builder()
        .leaseDuration(20 * SECOND)
        .minRemainingLease(5 * SECOND)
        .renewalInterval(6 * SECOND)
        .minAppendInterval(SECOND / 2)
        .appendTimeout(3 * SECOND)
        .readInterval(4 * SECOND)
        .loadPollInterval(SECOND)
        .callTimeout(3 * SECOND)
        .snapshotInterval(40 * SECOND)
        .maxConcurrentLoads(2);
  }

  private static Placement placement(String engine, int version) {
    return Placement.builder()
        .name(engine)
        .endpoint(engine)
        .model("m")
        .version("" + version)
        .adapters(version % 2 == 0 ? Set.of("a") : Set.of())
        .role(version % 3 == 0 ? "decode" : "mixed")
        .build();
  }

  /** One host; its clock runs at its own rate and it does nothing while paused. */
  private final class Host {
    private final int index;
    private final double rate = 0.996 + random.nextDouble() * 0.008;
    private final OrderStateMachine machine;
    private final Map<String, EngineState> beliefs = new HashMap<>();
    private long pausedUntil;
    private boolean isReading;
    private long assignment;

    Host(int index, int run) {
      this.index = index;
      this.machine =
          new OrderStateMachine(
              "h" + index + "-" + run,
              variation.settings(),
              InvariantChecker.throwing(),
              new Random(random.nextLong()),
              clock());
    }

    private long clock() {
      return (long) (now * rate);
    }

    private void later(long delay, Runnable action) {
      at(now + delay, () -> whenAwake(action));
    }

    private void whenAwake(Runnable action) {
      if (!hosts.contains(this)) {
        return;
      }
      if (now < pausedUntil) {
        at(pausedUntil, () -> whenAwake(action));
        return;
      }
      action.run();
      carryOut(machine.tick(clock()));
    }

    void tick() {
      if (!isReading && now >= outageUntil) {
        isReading = true;
        int size = log.size();
        later(delay(500), () -> read(size));
      }
    }

    private void read(int size) {
      isReading = false;
      long from = machine.nextOffset();
      if (from < logFirst) {
        machine.offsetOutOfRange(logFirst, clock());
      } else if (from < size) {
        machine.read(List.copyOf(log.subList((int) from, size)), clock());
      }
    }

    void wish(long number, Map<String, Placement> wanted, Set<String> all) {
      if (number > assignment) {
        assignment = number;
        machine.setDesiredPlacements(wanted, all, clock());
      }
    }

    private void carryOut(List<OrderDecision> decisions) {
      for (OrderDecision decision : decisions) {
        if (decision instanceof OrderDecision.Append append) {
          append(append.record(), null);
        } else if (decision instanceof OrderDecision.AppendSnapshot append) {
          append(null, append.snapshot());
        } else if (decision instanceof OrderDecision.ReadState read) {
          at(now + delay(300), () -> readEngine(read));
        } else if (decision instanceof OrderDecision.SendOrder send) {
          boolean isSlow = hasFaults && random.nextInt(4) == 0;
          long flight = isSlow ? variation.maxFlight() : SECOND;
          at(now + (long) (random.nextDouble() * flight), () -> order(send));
        }
      }
    }

    private void append(LeaseRecord lease, LeaseSnapshot snapshot) {
      appends++;
      resets += snapshot != null && snapshot.isReset() ? 1 : 0;
      at(
          now + delay(2_000),
          () -> {
            boolean isOut = now < outageUntil;
            boolean isLost = hasFaults && random.nextInt(8) == 0;
            if (!isOut) {
              log.add(new LeaseEntry(log.size(), lease, snapshot));
            }
            if (isOut || isLost) {
              lostAnswers += isOut ? 0 : 1;
              later(delay(100), () -> machine.appendFailed(clock()));
            }
          });
    }

    private void readEngine(OrderDecision.ReadState read) {
      if (hasFaults && random.nextInt(10) == 0) {
        later(0, () -> machine.readFailed(read.endpoint(), read.attempt(), clock()));
        return;
      }
      EngineState actual = engines.get(read.endpoint()).state();
      EngineState state =
          variation.readsBack() ? actual : beliefs.computeIfAbsent(read.endpoint(), e -> actual);
      later(
          delay(300),
          () -> carryOut(machine.stateRead(read.endpoint(), read.attempt(), state, clock())));
    }

    private void order(OrderDecision.SendOrder send) {
      FakeEngine engine = engines.get(send.endpoint());
      boolean isTaken = engine.apply(send.order());
      if (isTaken && send.order().kind() == EngineOrder.Kind.LOAD) {
        at(now + 3 * SECOND, () -> engine.finishLoad(send.order()));
      }
      beliefs.put(send.endpoint(), engine.state());
      boolean isAnswered = !hasFaults || random.nextInt(10) > 0;
      if (isAnswered) {
        later(
            delay(300),
            () -> machine.orderEnded(send.endpoint(), send.attempt(), isTaken, clock()));
      }
    }
  }

  private long delay(int maxMillis) {
    return random.nextInt(maxMillis) * MILLI;
  }

  private void at(long time, Runnable action) {
    events.add(new Event(time, eventNumber++, action));
  }

  /** Runs with faults, then without until all must have come to rest. */
  void run(long withFaults, long without) {
    at(0, this::assign);
    at(0, this::tick);
    runUntil(withFaults);
    hasFaults = false;
    outageUntil = now;
    runUntil(withFaults + without);
  }

  private void runUntil(long end) {
    while (events.peek().at() <= end) {
      Event event = events.poll();
      now = event.at();
      event.action().run();
    }
  }

  private void tick() {
    if (hasFaults) {
      injectFaults();
    }
    for (Host host : List.copyOf(hosts)) {
      host.whenAwake(host::tick);
    }
    int loading = (int) engines.values().stream().filter(e -> e.state().isLoading()).count();
    maxLoading = Math.max(maxLoading, loading);
    at(now + TICK, this::tick);
  }

  private void injectFaults() {
    if (random.nextInt(300) == 0) {
      outageUntil = now + delay(40_000);
    }
    Host host = hosts.get(random.nextInt(HOSTS));
    if (random.nextInt(60) == 0 && now >= host.pausedUntil) {
      pauses++;
      host.pausedUntil = now + delay(60_000);
    }
    if (random.nextInt(400) == 0) {
      hosts.set(host.index, new Host(host.index, (int) (now / MILLI)));
      assign();
    }
    if (random.nextInt(100) == 0) {
      assign();
    }
    if (random.nextInt(150) == 0) {
      String name = "e" + random.nextInt(ENGINES);
      placements.put(name, placement(name, 1 + random.nextInt(9)));
      assign();
    }
    if (random.nextInt(500) == 0) {
      logFirst = Math.max(logFirst, log.size() - 200);
    }
  }

  /** Gives each engine to a host, sometimes to two of them; each host learns of it later. */
  private void assign() {
    assignments++;
    List<Map<String, Placement>> wishes = new ArrayList<>();
    hosts.forEach(host -> wishes.add(new HashMap<>()));
    placements.forEach(
        (name, placement) -> {
          wishes.get(random.nextInt(HOSTS)).put(name, placement);
          wishes.get(name.hashCode() % HOSTS).put(name, placement);
        });
    Set<String> all = new TreeSet<>(placements.keySet());
    for (Host host : hosts) {
      Map<String, Placement> wanted = wishes.get(host.index);
      long number = assignments;
      host.later(delay(3_000), () -> host.wish(number, wanted, all));
    }
  }

  int overtaken(boolean checksFence) {
    return engines.values().stream()
        .filter(engine -> engine.checksFence == checksFence)
        .mapToInt(engine -> engine.overtaken)
        .sum();
  }

  /** Returns the engines that aren't in the wanted state. */
  List<String> deviating() {
    return engines.values().stream()
        .filter(
            engine ->
                engine.state().isLoading()
                    || Reconciler.next(placements.get(engine.name), engine.state(), 0) != null)
        .map(engine -> engine.name)
        .toList();
  }
}
