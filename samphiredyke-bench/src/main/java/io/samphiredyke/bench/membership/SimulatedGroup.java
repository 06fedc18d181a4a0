package io.samphiredyke.bench.membership;

import io.samphiredyke.core.membership.GossipMessage;
import io.samphiredyke.core.membership.IncarnationId;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.membership.MemberChange;
import io.samphiredyke.core.membership.Membership;
import io.samphiredyke.core.membership.MembershipSettings;
import io.samphiredyke.core.membership.MembershipSink;
import io.samphiredyke.net.membership.GossipCodec;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.random.RandomGenerator;

/**
 * Group of members connected by simulated links in simulated time.
 *
 * <p>The delay of a message depends on the data centres of sender and receiver, and messages may be
 * lost. All random values derive from one seed.
 */
final class SimulatedGroup {

  /** Observes the changes in the views of all members. */
  interface Observer {
    void changed(long now, SimulatedNode observer, MemberChange change);
  }

  private record Event(long time, long sequence, Runnable action) implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(time, other.time);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  static final long NANOS_PER_MILLI = 1_000_000L;
  static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;

  private static final int DATA_CENTRES = 8;
  private static final int REGIONS = 2;
  private static final long SAME_DATA_CENTRE_NANOS = 200_000;
  private static final long SAME_REGION_NANOS = 500_000;
  private static final long OTHER_REGION_NANOS = 20 * NANOS_PER_MILLI;
  private static final long JITTER_NANOS = 300_000;

  final List<SimulatedNode> nodes = new ArrayList<>();

  private final MembershipSettings settings;
  private final RandomGenerator random;
  private final int overheadBytes;
  private final Map<String, SimulatedNode> byAddress = new HashMap<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<String> hostList = new ArrayList<>();
  private BiPredicate<SimulatedNode, SimulatedNode> blockedLinks = (from, to) -> false;
  private Observer observer = (now, node, change) -> {};
  private double lossRate;
  private long now;
  private long nextEventSequence;
  private long messages;
  private boolean useCodec;

  SimulatedGroup(int members, MembershipSettings settings, long seed, int overheadBytes) {
    this.settings = settings;
    this.random = new Random(seed);
    this.overheadBytes = overheadBytes;
    for (int i = 0; i < members; i++) {
      SimulatedNode node = new SimulatedNode(i, DATA_CENTRES, REGIONS);
      nodes.add(node);
      byAddress.put(node.address, node);
      hostList.add(node.address);
    }
  }

  long now() {
    return now;
  }

  long messages() {
    return messages;
  }

  RandomGenerator random() {
    return random;
  }

  /** Encodes and decodes each message, so that processes don't share objects. */
  void useCodec(boolean value) {
    useCodec = value;
  }

  void lossRate(double rate) {
    lossRate = rate;
  }

  void observe(Observer newObserver) {
    observer = newObserver;
  }

  void blockLinks(BiPredicate<SimulatedNode, SimulatedNode> links) {
    blockedLinks = links;
  }

  /** Starts a new member process on a host. */
  void start(SimulatedNode node) {
    Member self =
        Member.builder()
            .name(node.name)
            .address(node.address)
            .incarnation(IncarnationId.random(random))
            .dataCentre(node.dataCentre)
            .generation(1_800_000_000L + now / NANOS_PER_SECOND)
            .configurationOffset(100_000)
            .build();
    Membership membership =
        new Membership(self, settings, new Random(random.nextLong()), sinkOf(node));
    node.membership = membership;
    node.paused = false;
    node.startedAt = now;
    node.buffered.clear();
    membership.replaceSeeds(hostList, now);
    membership.start(now);
    scheduleTick(node);
  }

  private MembershipSink sinkOf(SimulatedNode node) {
    return new MembershipSink() {
      @Override
      public void send(String address, GossipMessage message) {
        transmit(node, address, message);
      }

      @Override
      public void memberChanged(MemberChange change) {
        observer.changed(now, node, change);
      }
    };
  }

  void stop(SimulatedNode node) {
    node.membership = null;
    node.scheduledTick = Long.MAX_VALUE;
  }

  void pause(SimulatedNode node, long nanos) {
    node.paused = true;
    Membership paused = node.membership;
    schedule(
        now + nanos,
        () -> {
          if (node.membership == paused) {
            resume(node);
          }
        });
  }

  private void resume(SimulatedNode node) {
    node.paused = false;
    List<GossipMessage> received = new ArrayList<>(node.buffered);
    node.buffered.clear();
    received.forEach(message -> deliver(node, message));
    tick(node);
  }

  /** Runs the simulation until the given time. */
  void runUntil(long end) {
    while (!events.isEmpty() && events.peek().time() <= end) {
      Event event = events.remove();
      now = event.time();
      event.action().run();
    }
    now = end;
  }

  void runFor(long nanos) {
    runUntil(now + nanos);
  }

  /**
   * Runs the simulation until all views have converged.
   *
   * @return the time until convergence in nanoseconds, or -1 if the limit was reached first
   */
  long runUntilConverged(long limit) {
    long start = now;
    while (!isConverged()) {
      if (now - start >= limit) {
        return -1;
      }
      runFor(100 * NANOS_PER_MILLI);
    }
    return now - start;
  }

  /** Returns whether the live members in each running process's view are the running processes. */
  boolean isConverged() {
    Set<IncarnationId> running = new HashSet<>();
    for (SimulatedNode node : nodes) {
      if (node.isUp()) {
        running.add(node.member().incarnation());
      }
    }
    for (SimulatedNode node : nodes) {
      Membership view = node.membership;
      if (view != null && !matches(view, running)) {
        return false;
      }
    }
    return true;
  }

  private static boolean matches(Membership view, Set<IncarnationId> running) {
    List<Member> live = view.liveMembers();
    if (live.size() != running.size()) {
      return false;
    }
    for (Member member : live) {
      if (!running.contains(member.incarnation())) {
        return false;
      }
    }
    return true;
  }

  void schedule(long time, Runnable action) {
    events.add(new Event(time, nextEventSequence++, action));
  }

  private void transmit(SimulatedNode from, String address, GossipMessage message) {
    int bytes = message.encodedSize() + overheadBytes;
    from.bytes += bytes;
    messages++;
    SimulatedNode to = byAddress.get(address);
    if (to == null || blockedLinks.test(from, to) || random.nextDouble() < lossRate) {
      return;
    }
    GossipMessage delivered = useCodec ? encodeAndDecode(message) : message;
    schedule(now + delay(from, to), () -> arrive(to, delivered, bytes));
  }

  private static GossipMessage encodeAndDecode(GossipMessage message) {
    byte[] bytes = GossipCodec.encode(message);
    if (bytes.length != message.encodedSize()) {
      throw new IllegalStateException(
          "encoded size " + bytes.length + " differs from the estimate: " + message);
    }
    try {
      return GossipCodec.decode(bytes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private long delay(SimulatedNode from, SimulatedNode to) {
    long baseDelay = SAME_DATA_CENTRE_NANOS;
    if (from.region != to.region) {
      baseDelay = OTHER_REGION_NANOS;
    } else if (!from.dataCentre.equals(to.dataCentre)) {
      baseDelay = SAME_REGION_NANOS;
    }
    return baseDelay + random.nextLong(JITTER_NANOS);
  }

  private void arrive(SimulatedNode to, GossipMessage message, int bytes) {
    if (!to.isUp()) {
      return;
    }
    to.bytes += bytes;
    if (to.paused) {
      to.buffer(message);
    } else {
      deliver(to, message);
    }
  }

  private void deliver(SimulatedNode to, GossipMessage message) {
    Membership membership = to.membership;
    if (membership != null) {
      membership.received(message, now);
      scheduleTick(to);
    }
  }

  private void tick(SimulatedNode node) {
    Membership membership = node.membership;
    if (membership == null || node.paused) {
      return;
    }
    membership.tick(now);
    scheduleTick(node);
  }

  void scheduleTick(SimulatedNode node) {
    Membership membership = node.membership;
    if (membership == null) {
      return;
    }
    long next = Math.max(now, membership.nextTick());
    if (next == node.scheduledTick) {
      return;
    }
    node.scheduledTick = next;
    schedule(
        next,
        () -> {
          if (node.scheduledTick == next) {
            node.scheduledTick = Long.MAX_VALUE;
            tick(node);
          }
        });
  }
}
