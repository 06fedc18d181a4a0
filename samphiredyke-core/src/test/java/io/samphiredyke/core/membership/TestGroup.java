package io.samphiredyke.core.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** A few members over instant links on a clock that the test advances. */
final class TestGroup {

  static final long MILLI = 1_000_000L;
  static final long SECOND = 1000 * MILLI;

  private static final long STEP = 10 * MILLI;

  private record Sent(String from, String to, GossipMessage message) {}

  final Map<String, Membership> running = new LinkedHashMap<>();
  final Map<String, List<MemberChange>> changes = new LinkedHashMap<>();
  final Set<String> silent = new HashSet<>();
  final List<GossipMessage> messages = new ArrayList<>();

  private final MembershipSettings settings;
  private final Random random;
  private final Deque<Sent> queue = new ArrayDeque<>();
  long now;

  TestGroup(long seed) {
    this(seed, MembershipSettings.builder().build());
  }

  TestGroup(long seed, MembershipSettings settings) {
    this.random = new Random(seed);
    this.settings = settings;
  }

  static Member member(String address, long generation, long id) {
    return Member.builder()
        .name("host-" + address)
        .address(address)
        .dataCentre("dc1")
        .incarnation(new IncarnationId(id, id))
        .generation(generation)
        .build();
  }

  Membership start(String address, long generation, String... seeds) {
    IncarnationId id = IncarnationId.random(random);
    Member self = member(address, generation, 0).toBuilder().incarnation(id).build();
    List<MemberChange> seen = new ArrayList<>();
    MembershipSink sink =
        new MembershipSink() {
          @Override
          public void send(String to, GossipMessage message) {
            queue.add(new Sent(address, to, message));
          }

          @Override
          public void memberChanged(MemberChange change) {
            seen.add(change);
          }
        };
    Membership membership = new Membership(self, settings, new Random(random.nextLong()), sink);
    changes.put(address, seen);
    running.put(address, membership);
    membership.replaceSeeds(List.of(seeds), now);
    membership.start(now);
    return membership;
  }

  void startAll(int count) {
    for (int i = 0; i < count; i++) {
      start("h" + i, 1, "h0");
    }
    run(10 * SECOND);
  }

  void run(long nanos) {
    long end = now + nanos;
    while (now < end) {
      now += STEP;
      for (Map.Entry<String, Membership> entry : List.copyOf(running.entrySet())) {
        if (!silent.contains(entry.getKey()) && entry.getValue().nextTick() <= now) {
          entry.getValue().tick(now);
        }
      }
      deliver();
    }
  }

  private void deliver() {
    while (!queue.isEmpty()) {
      Sent sent = queue.remove();
      messages.add(sent.message());
      Membership to = running.get(sent.to());
      if (to != null && !silent.contains(sent.to()) && !silent.contains(sent.from())) {
        to.received(sent.message(), now);
      }
    }
  }

  List<String> live(String address) {
    return running.get(address).liveMembers().stream().map(Member::address).sorted().toList();
  }

  List<ChangeCause> causes(String observer, String subject) {
    return changes.get(observer).stream()
        .filter(change -> change.member().address().equals(subject))
        .map(MemberChange::cause)
        .toList();
  }
}
