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
 * Replays the loads of the users' worst days on the production scheduler: engines of unlike speed,
 * three kinds of generations of different importance, bursts of twice the capacity.
 */
class OverloadReplayTest {

  private static final long MILLI = 1_000_000;
  private static final int ENGINES = 8;
  private static final int SLOTS = 4;

  /** Speeds of the engines in turn; the users' fast ones take a third of the time of the slow. */
  private static final double[] SLOWNESS = {0.7, 0.7, 2.1};

  /** Kind of request: rank, prompt and output tokens, share of arrivals, objective, patience. */
  private record Kind(int rank, int prompt, int output, double share, int dueMillis) {}

  private static final List<Kind> KINDS =
      List.of(
          new Kind(0, 3_700, 120, 0.34, 800),
          new Kind(1, 2_900, 52, 0.25, 800),
          new Kind(2, 1_100, 172, 0.41, 500));

  private record Event(long at, Runnable action) {}

  /** What became of the requests of a kind. */
  private static final class Tally {
    int asked;
    int onTime;
    int late;
    int refused;
    long slowestRefusal;

    double servedShare() {
      return (double) (onTime + late) / asked;
    }
  }

  private static final class Replay implements PoolListener {
    private final SplittableRandom random = new SplittableRandom(11);
    private final PriorityQueue<Event> events =
        new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
    private final Map<Long, Kind> kinds = new HashMap<>();
    private final Map<Long, Long> arrivals = new HashMap<>();
    private final Map<Integer, Tally> tallies = new HashMap<>();
    private final PoolScheduler scheduler =
        new PoolScheduler(new PoolOptions(0.2, 50, 0, 0, 300), this, new SplittableRandom(5));
    private final Map<String, Integer> running = new HashMap<>();
    private int mostAtOneEngine;
    private long now;
    private long nextId = 1;

    Replay() {
      for (int i = 0; i < ENGINES; i++) {
        scheduler.put(
            new EndpointRecord("e" + i, "s", "10.0.0." + i + ":1", "a", SLOTS, false, 0, 1), 0);
      }
      KINDS.forEach(kind -> tallies.put(kind.rank(), new Tally()));
    }

    /** Adds arrivals at a rate for a time. */
    void load(long from, long until, double perSecond) {
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
      Kind kind = KINDS.get(draw < 0.34 ? 0 : draw < 0.59 ? 1 : 2);
      double size = Math.min(6, Math.exp(random.nextGaussian() * 0.8 - 0.32));
      long id = nextId++;
      kinds.put(id, kind);
      arrivals.put(id, now);
      tallies.get(kind.rank()).asked++;
      WorkEstimate work =
          new WorkEstimate(
              (int) Math.max(60, kind.prompt() * size),
              (int) Math.max(6, kind.output() * size),
              List.of(new PromptPart(id, kind.prompt())));
      scheduler.submit(
          new SlotRequest(
              id,
              "h",
              "s",
              kind.rank(),
              0.3 + 0.7 * size,
              work,
              "",
              0,
              false,
              Set.of(),
              now + kind.dueMillis() * MILLI,
              now + 1_900 * MILLI),
          now);
    }

    @Override
    public void granted(SlotRequest claim, String endpointId) {
      int index = Integer.parseInt(endpointId.substring(1));
      double slowness = SLOWNESS[index % SLOWNESS.length];
      int others = running.merge(endpointId, 1, Integer::sum);
      mostAtOneEngine = Math.max(mostAtOneEngine, others);
      double prefill =
          LatencyModel.prefillMillis(
              claim.estimate().promptTokens(), claim.estimate().promptTokens());
      double first = slowness * (18 + prefill * (1 + 0.3 * (others - 1)));
      double total =
          first + slowness * LatencyModel.decodeMillis(claim.estimate().outputTokens(), others);
      long startAt = now + (long) (first * MILLI);
      long endAt = now + (long) (total * MILLI);
      events.add(
          new Event(startAt, () -> scheduler.firstEvent("s", endpointId, claim.id(), first)));
      events.add(new Event(endAt, () -> finish(claim, endpointId, startAt, total)));
    }

    private void finish(SlotRequest claim, String endpointId, long startAt, double total) {
      running.merge(endpointId, -1, Integer::sum);
      Tally tally = tallies.get(claim.rank());
      if (startAt <= claim.objectiveDeadline()) {
        tally.onTime++;
      } else {
        tally.late++;
      }
      scheduler.release("s", endpointId, claim.id(), Outcome.SERVED, total, now);
    }

    @Override
    public void refused(SlotRequest claim, SlotRefusal refusal) {
      Tally tally = tallies.get(claim.rank());
      tally.refused++;
      tally.slowestRefusal =
          Math.max(tally.slowestRefusal, (now - arrivals.get(claim.id())) / MILLI);
    }
  }

  @Test
  void servesEverythingAtModerateLoad() {
    Replay replay = new Replay();
    replay.load(0, 30_000, 35);
    replay.run();
    for (Tally tally : replay.tallies.values()) {
      assertThat(tally.refused).isZero();
      assertThat((double) tally.onTime / tally.asked).isGreaterThan(0.95);
    }
  }

  @Test
  void neverSendsMoreThanAnEngineRunsAtOnce() {
    Replay replay = new Replay();
    replay.load(0, 15_000, 120);
    replay.run();
    assertThat(replay.mostAtOneEngine).isLessThanOrEqualTo(SLOTS);
  }

  @Test
  void sparesTheImportantInBurstsOfTwiceTheCapacity() {
    Replay replay = new Replay();
    replay.load(0, 5_000, 40);
    replay.load(5_000, 10_000, 130);
    replay.load(10_000, 20_000, 40);
    replay.run();
    assertThat(replay.tallies.get(0).servedShare()).isGreaterThan(0.98);
    assertThat(replay.tallies.get(1).servedShare())
        .isGreaterThanOrEqualTo(replay.tallies.get(2).servedShare() - 0.05);
    int served = replay.tallies.values().stream().mapToInt(t -> t.onTime + t.late).sum();
    int asked = replay.tallies.values().stream().mapToInt(t -> t.asked).sum();
    assertThat((double) served / asked).isGreaterThan(0.7);
  }

  @Test
  void lowestRankIsNotStarvedBySustainedOverload() {
    Replay replay = new Replay();
    replay.load(0, 30_000, 130);
    replay.run();
    double all =
        replay.tallies.values().stream().mapToInt(t -> t.onTime + t.late).sum()
            / (double) replay.tallies.values().stream().mapToInt(t -> t.asked).sum();
    assertThat(replay.tallies.get(2).servedShare()).isGreaterThan(all / 4);
  }

  @Test
  void learnsWhichEnginesAreSlow() {
    Replay replay = new Replay();
    replay.load(0, 20_000, 30);
    replay.run();
    assertThat(replay.tallies.get(0).onTime).isGreaterThan(replay.tallies.get(0).asked * 95 / 100);
  }
}
