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

/**
 * Discrete-event simulation of hosts, a log and engines in virtual time, with faults drawn from a
 * seed.
 */
final class OrderSimulation {

  static final long MILLI = 1_000_000L;
  static final long SECOND = 1_000 * MILLI;

  private static final long TICK = 200 * MILLI;
  private static final int ENGINES = 6;
  private static final int HOSTS = 4;

  /**
   * Parameters of a run.
   *
   * @param settings settings of the hosts
   * @param maxOrderDelay maximum delivery delay of a slow order, in nanoseconds
   * @param readsActualState whether hosts read the actual state of the engines; otherwise they rely
   *     on the state after their own last order
   */
  record Scenario(OrderSettings settings, long maxOrderDelay, boolean readsActualState) {}

  private record Event(long at, long number, Runnable action) {}

  private final Random random;
  private final Scenario scenario;
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
  int lostResponses;
  int pauses;
  int resets;

  OrderSimulation(long seed, Scenario scenario) {
    this.random = new Random(seed);
    this.scenario = scenario;
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

  /** Simulated host whose clock has its own rate and which does nothing while paused. */
  private final class Host {
    private final int index;
    private final double rate = 0.996 + random.nextDouble() * 0.008;
    private final OrderStateMachine machine;
    private final Map<String, EngineState> lastKnownStates = new HashMap<>();
    private long pausedUntil;
    private boolean isReading;
    private long assignment;

    Host(int index, int run) {
      this.index = index;
      this.machine =
          new OrderStateMachine(
              "h" + index + "-" + run,
              scenario.settings(),
              InvariantChecker.throwing(),
              new Random(random.nextLong()),
              clock());
    }

    private long clock() {
      return (long) (now * rate);
    }

    private void schedule(long delay, Runnable action) {
      scheduleAt(now + delay, () -> runUnlessPaused(action));
    }

    private void runUnlessPaused(Runnable action) {
      if (!hosts.contains(this)) {
        return;
      }
      if (now < pausedUntil) {
        scheduleAt(pausedUntil, () -> runUnlessPaused(action));
        return;
      }
      action.run();
      execute(machine.tick(clock()));
    }

    void tick() {
      if (!isReading && now >= outageUntil) {
        isReading = true;
        int size = log.size();
        schedule(delay(500), () -> read(size));
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

    void setDesired(long number, Map<String, Placement> desired, Set<String> all) {
      if (number > assignment) {
        assignment = number;
        machine.setDesiredPlacements(desired, all, clock());
      }
    }

    private void execute(List<OrderDecision> decisions) {
      for (OrderDecision decision : decisions) {
        if (decision instanceof OrderDecision.Append append) {
          append(append.record(), null);
        } else if (decision instanceof OrderDecision.AppendSnapshot append) {
          append(null, append.snapshot());
        } else if (decision instanceof OrderDecision.ReadState read) {
          scheduleAt(now + delay(300), () -> readEngine(read));
        } else if (decision instanceof OrderDecision.SendOrder send) {
          boolean isSlow = hasFaults && random.nextInt(4) == 0;
          long maxDelay = isSlow ? scenario.maxOrderDelay() : SECOND;
          scheduleAt(now + (long) (random.nextDouble() * maxDelay), () -> applyOrder(send));
        }
      }
    }

    private void append(LeaseRecord lease, LeaseSnapshot snapshot) {
      appends++;
      resets += snapshot != null && snapshot.isReset() ? 1 : 0;
      scheduleAt(
          now + delay(2_000),
          () -> {
            boolean isOutage = now < outageUntil;
            boolean isLost = hasFaults && random.nextInt(8) == 0;
            if (!isOutage) {
              log.add(new LeaseEntry(log.size(), lease, snapshot));
            }
            if (isOutage || isLost) {
              lostResponses += isOutage ? 0 : 1;
              schedule(delay(100), () -> machine.appendFailed(clock()));
            }
          });
    }

    private void readEngine(OrderDecision.ReadState read) {
      if (hasFaults && random.nextInt(10) == 0) {
        schedule(0, () -> machine.readFailed(read.endpoint(), read.attempt(), clock()));
        return;
      }
      EngineState actual = engines.get(read.endpoint()).state();
      EngineState state =
          scenario.readsActualState()
              ? actual
              : lastKnownStates.computeIfAbsent(read.endpoint(), e -> actual);
      schedule(
          delay(300),
          () -> execute(machine.stateRead(read.endpoint(), read.attempt(), state, clock())));
    }

    private void applyOrder(OrderDecision.SendOrder send) {
      FakeEngine engine = engines.get(send.endpoint());
      boolean isAccepted = engine.apply(send.order());
      if (isAccepted && send.order().kind() == EngineOrder.Kind.LOAD) {
        scheduleAt(now + 3 * SECOND, () -> engine.finishLoad(send.order()));
      }
      lastKnownStates.put(send.endpoint(), engine.state());
      boolean isResponseReceived = !hasFaults || random.nextInt(10) > 0;
      if (isResponseReceived) {
        schedule(
            delay(300),
            () -> machine.orderEnded(send.endpoint(), send.attempt(), isAccepted, clock()));
      }
    }
  }

  private long delay(int maxMillis) {
    return random.nextInt(maxMillis) * MILLI;
  }

  private void scheduleAt(long time, Runnable action) {
    events.add(new Event(time, eventNumber++, action));
  }

  /** Runs with faults, then without faults until all engines must have converged. */
  void run(long withFaults, long withoutFaults) {
    scheduleAt(0, this::assign);
    scheduleAt(0, this::tick);
    runUntil(withFaults);
    hasFaults = false;
    outageUntil = now;
    runUntil(withFaults + withoutFaults);
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
      host.runUnlessPaused(host::tick);
    }
    int loading = (int) engines.values().stream().filter(e -> e.state().isLoading()).count();
    maxLoading = Math.max(maxLoading, loading);
    scheduleAt(now + TICK, this::tick);
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

  /** Assigns each engine to one or two hosts; each host receives its assignment after a delay. */
  private void assign() {
    assignments++;
    List<Map<String, Placement>> placementsByHost = new ArrayList<>();
    hosts.forEach(host -> placementsByHost.add(new HashMap<>()));
    placements.forEach(
        (name, placement) -> {
          placementsByHost.get(random.nextInt(HOSTS)).put(name, placement);
          placementsByHost.get(name.hashCode() % HOSTS).put(name, placement);
        });
    Set<String> all = new TreeSet<>(placements.keySet());
    for (Host host : hosts) {
      Map<String, Placement> desired = placementsByHost.get(host.index);
      long number = assignments;
      host.schedule(delay(3_000), () -> host.setDesired(number, desired, all));
    }
  }

  /** Returns the number of orders that engines applied after one with a newer fencing token. */
  int staleOrders(boolean checksFence) {
    return engines.values().stream()
        .filter(engine -> engine.checksFence == checksFence)
        .mapToInt(engine -> engine.staleOrders)
        .sum();
  }

  /** Returns the engines that are not in the desired state. */
  List<String> notConverged() {
    return engines.values().stream()
        .filter(
            engine ->
                engine.state().isLoading()
                    || OrderPlanner.next(placements.get(engine.name), engine.state(), 0) != null)
        .map(engine -> engine.name)
        .toList();
  }
}
