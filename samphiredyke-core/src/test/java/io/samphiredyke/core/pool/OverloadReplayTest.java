package io.samphiredyke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.serving.EndpointRecord;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Simulates the users' days of highest load on the production scheduler: engines of different
 * speeds, three classes of generation requests of different ranks, bursts of twice the capacity.
 */
class OverloadReplayTest {

  private static final long MILLI = 1_000_000;
  private static final int ENGINES = 8;
  private static final int SLOTS = 4;

  /** Latency factors assigned to the engines in turn; the users' slow engines take 3x as long. */
  private static final double[] LATENCY_FACTORS = {0.7, 0.7, 2.1};

  /** A class of requests with its mean sizes, its share of the arrivals and its objective. */
  private record RequestClass(
      int rank, int promptTokens, int outputTokens, double share, int objectiveMillis) {}

  private static final List<RequestClass> REQUEST_CLASSES =
      List.of(
          new RequestClass(0, 3_700, 120, 0.34, 800),
          new RequestClass(1, 2_900, 52, 0.25, 800),
          new RequestClass(2, 1_100, 172, 0.41, 500));

  private record Event(long at, Runnable action) {}

  /** Outcome counts of the requests of one class. */
  private static final class Counts {
    int submitted;
    int onTime;
    int late;
    int refused;
    long slowestRefusalMillis;

    double servedRatio() {
      return (double) (onTime + late) / submitted;
    }
  }

  private static final class Replay implements PoolListener {
    private final SplittableRandom random = new SplittableRandom(11);
    private final PriorityQueue<Event> events =
        new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
    private final Map<Long, RequestClass> requestClasses = new HashMap<>();
    private final Map<Long, Long> arrivals = new HashMap<>();
    private final Map<Integer, Counts> countsByRank = new HashMap<>();
    private final PoolScheduler scheduler =
        new PoolScheduler(new PoolOptions(0.2, 50, 0, 0, 300), this, new SplittableRandom(5));
    private final Map<String, Integer> running = new HashMap<>();
    private int peakRunningPerEngine;
    private long now;
    private long nextId = 1;

    Replay() {
      for (int i = 0; i < ENGINES; i++) {
        scheduler.put(
            new EndpointRecord("e" + i, "s", "10.0.0." + i + ":1", "a", SLOTS, false, 0, 1, 0), 0);
      }
      REQUEST_CLASSES.forEach(requestClass -> countsByRank.put(requestClass.rank(), new Counts()));
    }

    /** Adds Poisson arrivals at a rate between two times, milliseconds. */
    void addArrivals(long from, long until, double perSecond) {
      double at = from;
      while (at < until) {
        at += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
        long arrival = (long) (at * MILLI);
        events.add(new Event(arrival, this::arrive));
      }
    }

    void run() {
      long nextTick = 0;
      while (!events.isEmpty()) {
        Event event = events.poll();
        while (nextTick < event.at()) {
          now = nextTick;
          scheduler.tick(now);
          nextTick += 15 * MILLI;
        }
        now = event.at();
        event.action().run();
      }
    }

    private void arrive() {
      double draw = random.nextDouble();
      RequestClass requestClass = REQUEST_CLASSES.get(draw < 0.34 ? 0 : draw < 0.59 ? 1 : 2);
      double size = Math.min(6, Math.exp(random.nextGaussian() * 0.8 - 0.32));
      long id = nextId++;
      requestClasses.put(id, requestClass);
      arrivals.put(id, now);
      countsByRank.get(requestClass.rank()).submitted++;
      WorkEstimate work =
          new WorkEstimate(
              (int) Math.max(60, requestClass.promptTokens() * size),
              (int) Math.max(6, requestClass.outputTokens() * size),
              List.of(new PromptPart(id, requestClass.promptTokens())));
      scheduler.submit(
          new SlotRequest(
              id,
              "h",
              "s",
              requestClass.rank(),
              0.3 + 0.7 * size,
              work,
              "",
              0,
              false,
              Set.of(),
              now + requestClass.objectiveMillis() * MILLI,
              now + 1_900 * MILLI),
          now);
    }

    @Override
    public void granted(SlotRequest request, String endpointId) {
      int index = Integer.parseInt(endpointId.substring(1));
      double latencyFactor = LATENCY_FACTORS[index % LATENCY_FACTORS.length];
      int concurrency = running.merge(endpointId, 1, Integer::sum);
      peakRunningPerEngine = Math.max(peakRunningPerEngine, concurrency);
      double prefill =
          LatencyModel.prefillMillis(
              request.estimate().promptTokens(), request.estimate().promptTokens());
      double first = latencyFactor * (18 + prefill * (1 + 0.3 * (concurrency - 1)));
      double total =
          first
              + latencyFactor
                  * LatencyModel.decodeMillis(request.estimate().outputTokens(), concurrency);
      long startAt = now + (long) (first * MILLI);
      long endAt = now + (long) (total * MILLI);
      events.add(
          new Event(startAt, () -> scheduler.firstEvent("s", endpointId, request.id(), first)));
      events.add(new Event(endAt, () -> finish(request, endpointId, startAt, total)));
    }

    private void finish(SlotRequest request, String endpointId, long startAt, double total) {
      running.merge(endpointId, -1, Integer::sum);
      Counts counts = countsByRank.get(request.rank());
      if (startAt <= request.objectiveDeadline()) {
        counts.onTime++;
      } else {
        counts.late++;
      }
      scheduler.release("s", endpointId, request.id(), Outcome.SERVED, total, now);
    }

    @Override
    public void refused(SlotRequest request, SlotRefusal refusal) {
      Counts counts = countsByRank.get(request.rank());
      counts.refused++;
      counts.slowestRefusalMillis =
          Math.max(counts.slowestRefusalMillis, (now - arrivals.get(request.id())) / MILLI);
    }
  }

  @Test
  void servesEverythingAtModerateLoad() {
    Replay replay = new Replay();
    replay.addArrivals(0, 30_000, 35);
    replay.run();
    for (Counts counts : replay.countsByRank.values()) {
      assertThat(counts.refused).isZero();
      assertThat((double) counts.onTime / counts.submitted).isGreaterThan(0.95);
    }
  }

  @Test
  void neverExceedsTheSlotsOfAnEngine() {
    Replay replay = new Replay();
    replay.addArrivals(0, 15_000, 120);
    replay.run();
    assertThat(replay.peakRunningPerEngine).isLessThanOrEqualTo(SLOTS);
  }

  @Test
  void servesTheHighestRankInBurstsOfTwiceTheCapacity() {
    Replay replay = new Replay();
    replay.addArrivals(0, 5_000, 40);
    replay.addArrivals(5_000, 10_000, 130);
    replay.addArrivals(10_000, 20_000, 40);
    replay.run();
    assertThat(replay.countsByRank.get(0).servedRatio()).isGreaterThan(0.98);
    assertThat(replay.countsByRank.get(1).servedRatio())
        .isGreaterThanOrEqualTo(replay.countsByRank.get(2).servedRatio() - 0.05);
    int served = replay.countsByRank.values().stream().mapToInt(t -> t.onTime + t.late).sum();
    int submitted = replay.countsByRank.values().stream().mapToInt(t -> t.submitted).sum();
    assertThat((double) served / submitted).isGreaterThan(0.7);
  }

  @Test
  void lowestRankIsNotStarvedBySustainedOverload() {
    Replay replay = new Replay();
    replay.addArrivals(0, 30_000, 130);
    replay.run();
    double all =
        replay.countsByRank.values().stream().mapToInt(t -> t.onTime + t.late).sum()
            / (double) replay.countsByRank.values().stream().mapToInt(t -> t.submitted).sum();
    assertThat(replay.countsByRank.get(2).servedRatio()).isGreaterThan(all / 4);
  }

  @Test
  void learnsWhichEnginesAreSlow() {
    Replay replay = new Replay();
    replay.addArrivals(0, 20_000, 30);
    replay.run();
    assertThat(replay.countsByRank.get(0).onTime)
        .isGreaterThan(replay.countsByRank.get(0).submitted * 95 / 100);
  }
}
