package io.samphiredyke.core.membership;

import io.samphiredyke.core.membership.internal.AntiEntropy;
import io.samphiredyke.core.membership.internal.LocalHealth;
import io.samphiredyke.core.membership.internal.LocalMember;
import io.samphiredyke.core.membership.internal.MemberEntry;
import io.samphiredyke.core.membership.internal.MemberTable;
import io.samphiredyke.core.membership.internal.Outbox;
import io.samphiredyke.core.membership.internal.PingRelays;
import io.samphiredyke.core.membership.internal.Prober;
import io.samphiredyke.core.membership.internal.Reconnector;
import io.samphiredyke.core.membership.internal.UpdateQueue;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * View of one process of which other processes are alive, maintained by the SWIM protocol.
 *
 * <p>This is a state machine without I/O and threads: its owner calls {@link #tick} at {@link
 * #nextTick} and {@link #received} for each message, always from the same thread and with the time
 * in nanoseconds of the same monotonic clock. Decisions are passed to the {@link MembershipSink}.
 * Failure detection follows SWIM with suspicion and refutation by generations, extended by
 * Lifeguard's local health score and dynamic suspicion timeouts.
 *
 * <p>The view is soft state: a live member may temporarily be seen as dead, and vice versa.
 *
 * @see MembershipSettings
 */
public final class Membership {

  private static final int MAX_INTRODUCTIONS_PER_SECOND = 8;
  private static final int LEAVE_NOTIFICATIONS = 8;
  private static final long SECOND_NANOS = 1_000_000_000L;

  private final MembershipSettings settings;
  private final RandomGenerator random;
  private final LocalMember self;
  private final MemberTable table;
  private final LocalHealth health;
  private final Outbox outbox;
  private final Prober prober;
  private final PingRelays relays;
  private final AntiEntropy antiEntropy;
  private final Reconnector reconnector;

  private boolean started;
  private long nextSyncAt;
  private long nextTick = Long.MAX_VALUE;
  private long introductionWindowStart;
  private int introductions;
  private @Nullable List<Member> liveWithSelf;
  private @Nullable List<Member> liveOthers;
  private @Nullable Member liveSelf;

  /**
   * Creates the view of a process that does not know any other member yet.
   *
   * @param self this process in state {@link MemberState#ALIVE}, with a new incarnation and the
   *     wall-clock time in seconds as generation
   * @param settings settings
   * @param random source of randomness
   * @param sink receives the decisions; called from within the methods of this class
   */
  public Membership(
      Member self, MembershipSettings settings, RandomGenerator random, MembershipSink sink) {
    this.settings = settings;
    this.random = random;
    UpdateQueue queue = new UpdateQueue();
    this.self = new LocalMember(self, queue);
    this.table = new MemberTable(settings, queue, sink::memberChanged);
    this.health = new LocalHealth(settings.maxHealthScore());
    this.outbox = new Outbox(settings, this.self, table, queue, sink);
    this.prober = new Prober(settings, this.self, table, outbox, health, random);
    this.relays = new PingRelays(settings, this.self, outbox);
    this.antiEntropy = new AntiEntropy(settings, this.self, table, outbox, random);
    this.reconnector = new Reconnector(settings, this.self, table, outbox, antiEntropy, random);
  }

  /** Starts probing. */
  public void start(long now) {
    started = true;
    prober.start(now);
    reconnector.start(now);
    nextSyncAt = now + antiEntropy.nextInterval();
    introductionWindowStart = now;
    schedule();
  }

  /**
   * Replaces the seed addresses from the host list, which may be outdated: they are only contacted,
   * and no member is removed because its address is not listed.
   */
  public void replaceSeeds(Collection<String> addresses, long now) {
    reconnector.seed(addresses, now);
    schedule();
  }

  /** Performs the actions that are due. */
  public void tick(long now) {
    if (!started) {
      return;
    }
    detectPause(now);
    table.expireSuspicions(now, suspect -> outbox.pingUnresponsive(suspect, 0));
    relays.tick(now);
    prober.tick(now);
    reconnector.tick(now);
    if (now - nextSyncAt >= 0) {
      nextSyncAt = now + antiEntropy.nextInterval();
      table.reclaim(now);
      antiEntropy.compareWithRandom();
    }
    schedule();
  }

  /** Returns the time of the next action, {@link Long#MAX_VALUE} before the start. */
  public long nextTick() {
    return nextTick;
  }

  /** Handles a message from another process. */
  public void received(GossipMessage message, long now) {
    if (!started) {
      return;
    }
    detectPause(now);
    merge(message.updates(), !(message instanceof GossipMessage.SyncReply), now);
    if (message instanceof GossipMessage.SyncRequest request) {
      mergeMember(request.self(), true, now);
    }
    if (!message.header().address().equals(self.member().address())) {
      processOrigin(message.header(), now);
      handle(message, now);
    }
    schedule();
  }

  private void handle(GossipMessage message, long now) {
    if (message instanceof GossipMessage.Ping ping) {
      outbox.ack(ping.header(), ping.sequence());
    } else if (message instanceof GossipMessage.Ack ack) {
      prober.received(ack);
      relays.received(ack);
    } else if (message instanceof GossipMessage.Nack nack) {
      prober.received(nack);
    } else if (message instanceof GossipMessage.PingRequest request) {
      relays.received(request, prober.nextSequence(), now);
    } else if (message instanceof GossipMessage.SyncRequest request) {
      antiEntropy.received(request);
    } else if (message instanceof GossipMessage.SyncReply reply) {
      antiEntropy.received(reply);
    }
  }

  private void merge(GossipUpdates updates, boolean disseminate, long now) {
    for (Member member : updates.members()) {
      mergeMember(member, disseminate, now);
    }
    for (StateUpdate update : updates.states()) {
      if (update.memberId() != self.member().shortId()) {
        table.apply(update, now);
      } else if (self.refute(update)) {
        health.add(1);
      }
    }
  }

  private void mergeMember(Member member, boolean disseminate, long now) {
    if (member.address().equals(self.member().address())) {
      self.refute(member);
    } else if (table.mergeMember(member, disseminate, now)) {
      prober.add(member.address());
    }
  }

  /**
   * Updates the view from the header of a message, which proves the generation of its origin and
   * that an older incarnation at the same address has ended.
   */
  private void processOrigin(GossipHeader origin, long now) {
    MemberEntry entry = table.findByShortId(origin.memberId());
    if (entry == null) {
      requestIntroduction(origin, now);
      return;
    }
    if (origin.generation() > entry.member().generation()) {
      StateUpdate alive =
          new StateUpdate(
              origin.memberId(), MemberState.ALIVE, origin.generation(), origin.draining(), 0);
      table.apply(alive, now);
    }
    table.updateConfigurationOffset(entry, origin.memberId(), origin.configurationOffset());
  }

  private void requestIntroduction(GossipHeader origin, long now) {
    if (now - introductionWindowStart >= SECOND_NANOS) {
      introductionWindowStart = now;
      introductions = 0;
    }
    if (introductions >= MAX_INTRODUCTIONS_PER_SECOND) {
      return;
    }
    introductions++;
    MemberEntry known = table.findByAddress(origin.address());
    antiEntropy.compareWith(origin.address(), known == null ? null : known.member());
  }

  /**
   * Announces that this process leaves the group. The owner should continue to call {@link #tick}
   * for a few seconds, so that the update is disseminated.
   */
  public void leave(long now) {
    if (self.hasLeft()) {
      return;
    }
    self.leave();
    for (int i = 0; i < LEAVE_NOTIFICATIONS && i < table.liveCount(); i++) {
      Member receiver = table.live().get(random.nextInt(table.liveCount()));
      outbox.ping(receiver.address(), prober.nextSequence());
    }
    schedule();
  }

  /** Sets the configuration offset in force at this process. */
  public void configurationOffset(long offset) {
    self.configurationOffset(offset);
  }

  /** Sets whether this process is draining before a planned shutdown. */
  public void draining(boolean draining) {
    self.draining(draining);
  }

  /** Returns this process as announced to other members. */
  public Member self() {
    return self.member();
  }

  /**
   * Returns the members that are alive or suspect, including this process unless it has left. The
   * list is immutable, and the same instance is returned until the view changes.
   */
  public List<Member> liveMembers() {
    List<Member> others = table.live();
    List<Member> cached = liveWithSelf;
    if (cached != null && others == liveOthers && liveSelf == self.member()) {
      return cached;
    }
    List<Member> members = new ArrayList<>(others.size() + 1);
    if (!self.hasLeft()) {
      members.add(self.member());
    }
    members.addAll(others);
    cached = List.copyOf(members);
    liveWithSelf = cached;
    liveOthers = others;
    liveSelf = self.member();
    return cached;
  }

  /**
   * Returns the member known at an address, including dead and left members until they are
   * reclaimed, or null.
   */
  public @Nullable Member find(String address) {
    if (address.equals(self.member().address())) {
      return self.member();
    }
    MemberEntry entry = table.findByAddress(address);
    return entry == null ? null : entry.member();
  }

  /** Returns the local health score, 0 if healthy. */
  public int healthScore() {
    return health.score();
  }

  private void detectPause(long now) {
    long lateness = now - nextTick;
    if (lateness < settings.pauseThresholdNanos()) {
      return;
    }
    health.add(1);
    table.postponeSuspicions(lateness);
    relays.clear();
    prober.abandon(now);
    schedule();
  }

  private void schedule() {
    if (!started) {
      return;
    }
    long next = prober.nextTick();
    next = Math.min(next, reconnector.nextTick());
    next = Math.min(next, nextSyncAt);
    next = relays.nextTick(next);
    nextTick = table.nextDeadline(next);
  }
}
