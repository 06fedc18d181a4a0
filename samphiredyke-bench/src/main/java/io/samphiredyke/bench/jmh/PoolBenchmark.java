package io.samphiredyke.bench.jmh;

import io.samphiredyke.core.pool.Outcome;
import io.samphiredyke.core.pool.PoolListener;
import io.samphiredyke.core.pool.PoolOptions;
import io.samphiredyke.core.pool.PoolScheduler;
import io.samphiredyke.core.pool.PromptPart;
import io.samphiredyke.core.pool.SlotRefusal;
import io.samphiredyke.core.pool.SlotRequest;
import io.samphiredyke.core.pool.WorkEstimate;
import io.samphiredyke.core.serving.CallerLimits;
import io.samphiredyke.core.serving.CustomerSpec;
import io.samphiredyke.core.serving.EndpointRecord;
import io.samphiredyke.core.serving.ServiceSpec;
import io.samphiredyke.core.serving.ServingConfiguration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Measures one submission and one release of the scheduler of a service, with free slots and with
 * requests that wait.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class PoolBenchmark implements PoolListener {

  private static final int SLOTS = 4;
  private static final int RANKS = 3;
  private static final long MILLI = 1_000_000;

  /** Time between two submissions; about the arrival rate that 74 engines serve. */
  private static final long STEP_NANOS = 2 * MILLI;

  /** Far enough that requests wait without being refused. */
  private static final long FAR_NANOS = 3_600_000 * MILLI;

  private static final long FAR_UNITS = 1_000_000_000;

  /** Cache of an engine, in tokens. */
  private static final long CACHE_TOKENS = 486_240;

  private record Held(long id, String endpoint) {}

  /** Number of endpoints, of waiting requests, of customers and of shared parts of each prompt. */
  @Param({
    "6:0:0",
    "74:0:0",
    "74:50:0",
    "74:200:0",
    "74:800:0",
    "74:800:16",
    "74:800:1000",
    "300:0:0",
    "300:200:0",
    "3:0:0:1",
    "3:0:0:30",
    "3:0:0:300",
    "3:0:0:1200",
    "3:0:0:4000",
    "48:0:0:1200",
    "48:0:0:4000",
    "1000:0:0:1",
    "1000:0:0:4000"
  })
  public String size = "6:0:0";

  private final SplittableRandom random = new SplittableRandom(1);
  private final Deque<Held> held = new ArrayDeque<>();
  private final PoolScheduler scheduler =
      new PoolScheduler(new PoolOptions(0.2, 50, 0, 0, 300), this, new SplittableRandom(2));
  private long nextId;
  private long now;
  private int refused;
  private int customers;
  private List<PromptPart> sharedParts = List.of();

  /** Fills the slots, half of them if no request is to wait, and the queue. */
  @Setup
  public void fill() {
    String[] parts = size.split(":", -1);
    int endpoints = Integer.parseInt(parts[0]);
    int waiting = Integer.parseInt(parts[1]);
    customers = Integer.parseInt(parts[2]);
    int shared = parts.length > 3 ? Integer.parseInt(parts[3]) : 1;
    sharedParts =
        IntStream.rangeClosed(1, shared).mapToObj(part -> new PromptPart(part, 60)).toList();
    configure(parts.length > 3);
    for (int i = 0; i < endpoints; i++) {
      scheduler.put(
          new EndpointRecord("e" + i, "s", "10.0.0.1:1", "a", SLOTS, false, 0, 1, 0), now);
    }
    int slots = endpoints * SLOTS;
    int filled = waiting == 0 ? slots / 2 : slots + waiting;
    for (int i = 0; i < filled; i++) {
      scheduler.submit(request(), now);
    }
  }

  private void configure(boolean hasEngines) {
    List<CustomerSpec> specs = new ArrayList<>();
    for (int i = 0; i < customers; i++) {
      specs.add(new CustomerSpec("c" + i, Set.of("k" + i), -1, 1_000 + i, FAR_UNITS, true, 0));
    }
    List<ServiceSpec> services =
        hasEngines ? List.of(new ServiceSpec("s", 100, true, SLOTS, CACHE_TOKENS)) : List.of();
    scheduler.configure(
        new ServingConfiguration(1, List.of(), services, specs, CallerLimits.defaults()), now);
  }

  private SlotRequest request() {
    long id = nextId++;
    int tokens = 500 + random.nextInt(5_000);
    List<PromptPart> parts = new ArrayList<>(sharedParts);
    parts.add(new PromptPart(-id, tokens));
    WorkEstimate work = new WorkEstimate(tokens, 20 + random.nextInt(200), parts);
    return new SlotRequest(
        id,
        "host" + id % 95,
        "s",
        (int) (id % RANKS),
        0.5 + random.nextDouble(),
        work,
        customers == 0 ? "" : "c" + id % customers,
        0,
        false,
        Set.of(),
        now + FAR_NANOS,
        now + FAR_NANOS);
  }

  /** Submits a request and releases the slot that has been held longest. */
  @Benchmark
  public int submitAndRelease() {
    now += STEP_NANOS;
    scheduler.submit(request(), now);
    Held oldest = held.pollFirst();
    if (oldest == null) {
      throw new IllegalStateException("no slot is held");
    }
    scheduler.firstEvent("s", oldest.endpoint(), oldest.id(), 100);
    scheduler.release("s", oldest.endpoint(), oldest.id(), Outcome.SERVED, 400, now);
    return refused;
  }

  @Override
  public void granted(SlotRequest request, String endpointId) {
    held.addLast(new Held(request.id(), endpointId));
  }

  @Override
  public void refused(SlotRequest request, SlotRefusal refusal) {
    refused++;
  }
}
