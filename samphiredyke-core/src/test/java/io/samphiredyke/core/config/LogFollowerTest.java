package io.samphiredyke.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import io.samphiredyke.core.config.FollowerDecision.AskPeer;
import io.samphiredyke.core.config.FollowerDecision.PollLog;
import io.samphiredyke.core.config.FollowerDecision.Readiness;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class LogFollowerTest {

  private static final LogFollowerOptions OPTIONS =
      LogFollowerOptions.builder()
          .pollRecords(7)
          .snapshotRecords(10)
          .snapshotIntervalMillis(60_000)
          .snapshotSpreadMillis(2_000)
          .snapshotChunkEntries(60)
          .build();

  /** Simulation of several followers with random polls, outages, lost responses and restarts. */
  private static final class Deployment {
    private static final int NODES = 4;
    private static final int RETAINED = 120;
    private static final long STEP_MILLIS = 300;

    private final Random random;
    private final List<ConfigurationRecord> log = new ArrayList<>();
    private final List<LogFollower> nodes = new ArrayList<>();
    private final List<Boolean> disconnected = new ArrayList<>();
    private final List<Long> offsets = new ArrayList<>();
    private final ConfigurationState reference = new ConfigurationState();
    private boolean outage;
    private long millis;

    Deployment(long seed) {
      random = new Random(seed);
      for (int i = 0; i < NODES; i++) {
        nodes.add(newNode(i));
        disconnected.add(false);
        offsets.add(0L);
      }
    }

    private LogFollower newNode(int index) {
      return new LogFollower("host-" + index, OPTIONS, new Random(random.nextLong()), now());
    }

    private long now() {
      return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private void append(ConfigurationRecord record) {
      reference.apply(log.size(), record);
      log.add(record);
    }

    private void publish() {
      DataCentre item = new DataCentre("dc-" + random.nextInt(6), "region-" + log.size());
      long base = reference.configuration().version(item.key());
      String id = "change-" + log.size();
      append(
          ConfigurationRecord.ofChanges(id, "operator", millis, List.of(Change.put(item, base))));
    }

    private int first() {
      return Math.max(0, log.size() - RETAINED);
    }

    void step(boolean faults) {
      millis += STEP_MILLIS;
      if (faults) {
        injectFault();
      }
      boolean isReadBySome = disconnected.contains(false);
      if (!outage && isReadBySome && random.nextInt(3) == 0) {
        publish();
      }
      for (int i = 0; i < NODES; i++) {
        execute(i, nodes.get(i).tick(now(), millis));
        verify(i);
      }
    }

    private void injectFault() {
      int node = random.nextInt(NODES);
      switch (random.nextInt(40)) {
        case 0 -> outage = !outage;
        case 1 -> disconnected.set(node, !disconnected.get(node));
        case 2 -> {
          nodes.set(node, newNode(node));
          offsets.set(node, 0L);
        }
        default -> {}
      }
    }

    private void execute(int node, List<FollowerDecision> decisions) {
      for (FollowerDecision decision : decisions) {
        if (decision instanceof PollLog poll) {
          respond(node, poll);
        } else if (decision instanceof AskPeer ask) {
          PeerResponse response = nodes.get(random.nextInt(NODES)).respondToPeer(ask.from());
          if (response != null && random.nextInt(5) > 0) {
            execute(node, nodes.get(node).peerResponded(response));
          }
        } else if (decision instanceof FollowerDecision.AppendSnapshot snapshot) {
          appendPartially(snapshot.records());
        }
      }
    }

    private void appendPartially(List<ConfigurationRecord> records) {
      int appended = random.nextInt(3) == 0 ? random.nextInt(records.size() + 1) : records.size();
      if (!outage) {
        records.subList(0, appended).forEach(this::append);
      }
    }

    private void respond(int node, PollLog poll) {
      LogFollower follower = nodes.get(node);
      if (random.nextInt(6) == 0) {
        return;
      }
      if (outage || disconnected.get(node)) {
        follower.pollFailed(now());
        return;
      }
      if (poll.from() < first()) {
        execute(node, follower.offsetOutOfRange(first(), now()));
        return;
      }
      int to = (int) Math.min(log.size(), poll.from() + poll.maxRecords());
      List<LogEntry> entries = new ArrayList<>();
      for (int i = (int) poll.from(); i < to; i++) {
        entries.add(new LogEntry(i, millis, log.get(i)));
      }
      if (entries.isEmpty() && poll.waitMillis() > 0) {
        return;
      }
      execute(node, follower.pageRead(new LogPage(first(), to, entries), now()));
    }

    private void verify(int node) {
      Configuration configuration = nodes.get(node).configuration();
      assertThat(configuration.nextOffset()).isGreaterThanOrEqualTo(offsets.get(node));
      offsets.set(node, configuration.nextOffset());
      ConfigurationState expected = new ConfigurationState();
      for (int i = 0; i < configuration.nextOffset(); i++) {
        expected.apply(i, log.get(i));
      }
      assertThat(configuration.items()).isEqualTo(expected.configuration().items());
      assertThat(nodes.get(node).refusedRegressions()).isZero();
    }

    void endFaults() {
      outage = false;
      disconnected.replaceAll(previous -> false);
    }
  }

  @Property(tries = 25, seed = "51")
  void everyNodeFollowsTheLogThroughOutagesRetentionAndRestarts(@ForAll long seed) {
    Deployment deployment = new Deployment(seed);
    for (int i = 0; i < 400; i++) {
      deployment.step(true);
    }
    deployment.endFaults();
    for (int i = 0; i < 150; i++) {
      deployment.step(false);
    }
    for (LogFollower node : deployment.nodes) {
      assertThat(node.readiness()).isEqualTo(Readiness.READY);
      assertThat(node.configuration().nextOffset()).isGreaterThan(deployment.log.size() - 100L);
    }
  }

  private static LogFollower follower() {
    return new LogFollower("host", OPTIONS, new Random(7), 0);
  }

  private static List<LogEntry> changes(int from, int to) {
    List<LogEntry> entries = new ArrayList<>();
    for (int i = from; i < to; i++) {
      Change change = Change.put(new DataCentre("dc-" + i, "north"), 0);
      entries.add(
          new LogEntry(
              i, 0, ConfigurationRecord.ofChanges("r" + i, "operator", 0, List.of(change))));
    }
    return entries;
  }

  @Test
  void isNotReadyWhileTheLogIsDownAndNoPeerResponds() {
    LogFollower follower = follower();
    follower.tick(0, 0);
    assertThat(follower.pollFailed(1)).containsExactly(new AskPeer(0));
    assertThat(follower.readiness()).isEqualTo(Readiness.CATCHING_UP);
    assertThat(follower.respondToPeer(0)).isNull();
  }

  @Test
  void startsFromPeerWhileTheLogIsDown() {
    LogFollower peer = follower();
    peer.pageRead(new LogPage(0, 3, changes(0, 3)), 0);
    peer.pageRead(new LogPage(0, 3, List.of()), 0);

    LogFollower starting = follower();
    starting.tick(0, 0);
    starting.pollFailed(1);
    starting.peerResponded(peer.respondToPeer(0));
    assertThat(starting.readiness()).isEqualTo(Readiness.READY);
    assertThat(starting.configuration().digest()).isEqualTo(peer.configuration().digest());
  }

  @Test
  void reportsNoSnapshotWhenNoneCoversTheDroppedRecords() {
    LogFollower follower = follower();
    follower.tick(0, 0);
    follower.offsetOutOfRange(5, 1);
    follower.pageRead(new LogPage(5, 8, changes(5, 8)), 2);
    follower.pageRead(new LogPage(5, 8, List.of()), 3);
    assertThat(follower.readiness()).isEqualTo(Readiness.NO_SNAPSHOT);
    assertThat(follower.configuration().items()).isEmpty();
  }

  @Test
  void staysReadyAndKeepsItsConfigurationDuringAnOutage() {
    LogFollower follower = follower();
    follower.pageRead(new LogPage(0, 3, changes(0, 3)), 0);
    follower.pageRead(new LogPage(0, 3, List.of()), 0);
    follower.pollFailed(1);
    assertThat(follower.readiness()).isEqualTo(Readiness.READY);
    assertThat(follower.configuration().items()).hasSize(3);
  }

  @Test
  void staysBehindUntilPeersCoverTheWholeGap() {
    LogFollower follower = follower();
    follower.pageRead(new LogPage(0, 3, changes(0, 3)), 0);
    follower.pageRead(new LogPage(0, 3, List.of()), 0);
    follower.offsetOutOfRange(10, 1);
    follower.pageRead(new LogPage(10, 12, changes(10, 12)), 2);

    follower.peerResponded(new PeerResponse(5, changes(3, 5), null, 0));
    assertThat(follower.isBehind()).isTrue();
    assertThat(follower.configuration().nextOffset()).isEqualTo(5);

    follower.peerResponded(new PeerResponse(10, changes(5, 10), null, 0));
    assertThat(follower.isBehind()).isFalse();
    assertThat(follower.configuration().nextOffset()).isEqualTo(12);
  }
}
