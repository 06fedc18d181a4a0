package io.samphiredyke.bench.jmh;

import io.samphiredyke.core.pool.Outcome;
import io.samphiredyke.core.pool.PoolListener;
import io.samphiredyke.core.pool.PoolOptions;
import io.samphiredyke.core.pool.PoolScheduler;
import io.samphiredyke.core.pool.PromptPart;
import io.samphiredyke.core.pool.SlotRefusal;
import io.samphiredyke.core.pool.SlotRequest;
import io.samphiredyke.core.pool.WorkEstimate;
import io.samphiredyke.core.serving.EndpointRecord;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Requests of hosts of which some reach no endpoint, or only a few, in simulated time.
 *
 * <p>Requests of a host without a path fail after a time. If more than a number of requests wait,
 * the caller of the oldest one gives up.
 */
final class CutHosts implements PoolListener {

  private static final int SLOTS = 4;
  private static final int RANKS = 3;
  private static final int WAITING = 800;
  private static final long MILLI = 1_000_000;
  private static final long SECOND = 1_000 * MILLI;
  private static final long TICK_NANOS = 15 * MILLI;
  private static final long FAIL_NANOS = 500 * MILLI;

  /** Time of a request while some hosts are cut off: more of these wait than can be tried. */
  private static final long SERVE_NANOS = 400 * MILLI;

  /** Requests a second for each endpoint. */
  private static final double RATE = 7.5;

  /** Far enough that requests wait without being refused. */
  private static final long FAR_NANOS = 3_600 * SECOND;

  /** Time until the cut hosts are known and the queue is full. */
  private static final int FILL_SECONDS = 8;

  private record Held(long id, String endpoint, long endsAt) {}

  private final SplittableRandom random = new SplittableRandom(1);
  private final Deque<Held> served = new ArrayDeque<>();
  private final Deque<Held> failing = new ArrayDeque<>();
  private final Deque<Long> unserved = new ArrayDeque<>();
  private final PoolScheduler scheduler =
      new PoolScheduler(new PoolOptions(0.2, 50, 0, 0, 300), this, new SplittableRandom(2));
  private final int endpoints;
  private final int hosts;
  private final int cut;
  private final int reached;
  private final double tolerated;
  private final long stepNanos;
  private final long serveNanos;
  private long nextId;
  private long now;
  private long cutAt;
  private long tickedAt;
  private int messages;

  private CutHosts(int endpoints, int hosts, int cut, int reached, double tolerated) {
    this.endpoints = endpoints;
    this.hosts = hosts;
    this.cut = cut;
    this.reached = reached;
    this.tolerated = tolerated;
    this.stepNanos = (long) (SECOND / (RATE * endpoints));
    this.serveNanos = cut == 0 ? (long) (SLOTS * SECOND / RATE) : SERVE_NANOS;
  }

  /**
   * Creates it from the numbers of endpoints, of hosts, of those cut off, of the endpoints that
   * these reach, and of the refusals a second that an endpoint bears, 0 for any.
   */
  static CutHosts parse(String size) {
    String[] parts = size.split(":", -1);
    return new CutHosts(
        Integer.parseInt(parts[0]),
        Integer.parseInt(parts[1]),
        Integer.parseInt(parts[2]),
        Integer.parseInt(parts[3]),
        Double.parseDouble(parts[4]));
  }

  /** Returns the scheduler. */
  PoolScheduler scheduler() {
    return scheduler;
  }

  /** Runs until the cut hosts are known and requests wait. */
  void fill() {
    start();
    runUntilSecond(FILL_SECONDS);
    if (reached == 0 && scheduler.waitingCount("s") < WAITING * 9 / 10) {
      throw new IllegalStateException(scheduler.waitingCount("s") + " requests wait");
    }
  }

  /** Adds the endpoints and the requests that run at first. */
  void start() {
    for (int i = 0; i < endpoints; i++) {
      scheduler.put(
          new EndpointRecord("e" + i, "s", "10.0.0.1:1", "a", SLOTS, false, 0, 1, 0), now);
      if (tolerated > 0) {
        scheduler.tolerateRefusals("e" + i, tolerated, now);
      }
    }
    int initial = cut == 0 ? endpoints * SLOTS + WAITING : 0;
    for (int i = 0; i < initial; i++) {
      submit();
    }
  }

  /** Lets each host fail once at each endpoint, the most that the scheduler could remember. */
  void failEverywhere() {
    for (int i = 0; i < endpoints * hosts; i++) {
      String endpoint = "e" + i % endpoints;
      SlotRequest request = request("host" + i / endpoints);
      scheduler.restoreGrant(endpoint, request, now);
      scheduler.release("s", endpoint, request.id(), Outcome.FAILED, 0, now);
    }
  }

  /** Lets the paths be lost at a second of the simulated time, instead of at its start. */
  void cutAtSecond(int second) {
    cutAt = second * SECOND;
  }

  /** Runs until a second of the simulated time. */
  void runUntilSecond(int second) {
    while (now < second * SECOND) {
      step();
    }
  }

  /** Returns how many messages were sent to and by the scheduler so far. */
  int messages() {
    return messages;
  }

  /** Submits a request and releases the slots whose requests have ended since the last one. */
  int step() {
    now += stepNanos;
    release(served, Outcome.SERVED);
    release(failing, Outcome.FAILED);
    submit();
    if (scheduler.waitingCount("s") > WAITING) {
      giveUpOldest();
    }
    if (now - tickedAt >= TICK_NANOS) {
      scheduler.tick(now);
      tickedAt = now;
    }
    return messages;
  }

  private void release(Deque<Held> running, Outcome outcome) {
    for (Held first = running.peekFirst();
        first != null && first.endsAt() <= now;
        first = running.peekFirst()) {
      running.removeFirst();
      messages++;
      if (outcome == Outcome.SERVED) {
        scheduler.firstEvent("s", first.endpoint(), first.id(), 100);
      }
      scheduler.release("s", first.endpoint(), first.id(), outcome, 400, now);
    }
  }

  private void giveUpOldest() {
    for (Long id = unserved.pollFirst(); id != null; id = unserved.pollFirst()) {
      if (scheduler.isWaiting("s", id)) {
        messages++;
        scheduler.withdraw("s", id);
        return;
      }
    }
  }

  private void submit() {
    messages++;
    SlotRequest request = request("host" + random.nextInt(hosts));
    scheduler.submit(request, now);
    if (scheduler.isWaiting("s", request.id())) {
      unserved.addLast(request.id());
    }
  }

  private SlotRequest request(String host) {
    long id = nextId++;
    int tokens = 500 + random.nextInt(5_000);
    List<PromptPart> parts = List.of(new PromptPart(1, 60), new PromptPart(-id, tokens));
    return new SlotRequest(
        id,
        host,
        "s",
        (int) (id % RANKS),
        0.5 + random.nextDouble(),
        new WorkEstimate(tokens, 20 + random.nextInt(200), parts),
        "",
        0,
        false,
        Set.of(),
        now + FAR_NANOS,
        now + FAR_NANOS);
  }

  private boolean reaches(String host, String endpoint) {
    return now < cutAt
        || Integer.parseInt(host.substring("host".length())) >= cut
        || Integer.parseInt(endpoint.substring(1)) < reached;
  }

  @Override
  public void granted(SlotRequest request, String endpointId) {
    messages++;
    if (reaches(request.requester(), endpointId)) {
      served.addLast(new Held(request.id(), endpointId, now + serveNanos));
    } else {
      failing.addLast(new Held(request.id(), endpointId, now + FAIL_NANOS));
    }
  }

  @Override
  public void refused(SlotRequest request, SlotRefusal refusal) {
    messages++;
  }
}
