package io.samphiredyke.core.membership;

import io.samphiredyke.core.membership.internal.AntiEntropy;
import io.samphiredyke.core.membership.internal.LocalHealth;
import io.samphiredyke.core.membership.internal.LocalMember;
import io.samphiredyke.core.membership.internal.MemberEntry;
import io.samphiredyke.core.membership.internal.MemberTable;
import io.samphiredyke.core.membership.internal.Outbox;
import io.samphiredyke.core.membership.internal.Prober;
import io.samphiredyke.core.membership.internal.Reconnector;
import io.samphiredyke.core.membership.internal.Relays;
import io.samphiredyke.core.membership.internal.UpdateQueue;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * View of one process of which other processes are alive.
 *
 * <p>A state machine without I/O and threads: the owner calls {@link #tick} at {@link #nextTick}
 * and {@link #received} for each message, always from one thread, with the nanoseconds of one
 * monotonic clock; decisions go to the {@link MembershipSink}. The way of probing is SWIM's, with
 * suspicion, refutation by generations, and Lifeguard's local health and shrinking suspicion times.
 *
 * <p>The view is soft state: a live member may be seen dead for a while, and the other way round.
 *
 * @see MembershipSettings
 */
public final class Membership {

  private static final int MAX_INTRODUCTIONS_PER_SECOND = 8;
  private static final int LEAVE_CONTACTS = 8;
  private static final long SECOND_NANOS = 1_000_000_000L;

  private final MembershipSettings settings;
  private final RandomGenerator random;
  private final LocalMember self;
  private final MemberTable table;
  private final LocalHealth health;
  private final Outbox outbox;
  private final Prober prober;
  private final Relays relays;
  private final AntiEntropy antiEntropy;
  private final Reconnector reconnector;

  private boolean started;
  private long nextSyncAt;
  private long nextTick = Long.MAX_VALUE;
  private long introductionsSince;
  private int introductions;
  private @Nullable List<Member> liveWithSelf;
  private @Nullable List<Member> liveOthers;
  private @Nullable Member liveSelf;

  /**
   * Creates the view of a process that knows nobody yet.
   *
   * @param self this process in state {@link MemberState#ALIVE}, with a new incarnation and the
   *     seconds of the wall clock as generation
   * @param settings settings
   * @param random source of randomness
   * @param sink receives decisions; called back from within the event methods
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
    this.relays = new Relays(settings, this.self, outbox);
    this.antiEntropy = new AntiEntropy(settings, this.self, table, outbox, random);
    this.reconnector = new Reconnector(settings, this.self, table, outbox, antiEntropy, random);
  }

  /** Starts probing. */
  public void start(long now) {
    started = true;
    prober.start(now);
    reconnector.start(now);
    nextSyncAt = now + antiEntropy.nextInterval();
    introductionsSince = now;
    schedule();
  }

  /**
   * Replaces the addresses of the host list, which may be outdated: it only names addresses worth a
   * contact and removes nobody.
   */
  public void replaceSeeds(Collection<String> addresses, long now) {
    reconnector.seed(addresses, now);
    schedule();
  }

  /** Takes the steps that are due. */
  public void tick(long now) {
    if (!started) {
      return;
    }
    notePause(now);
    table.expireSuspicions(now, suspect -> outbox.pingUnanswering(suspect, 0));
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

  /** Time of the next step, {@link Long#MAX_VALUE} before the start. */
  public long nextTick() {
    return nextTick;
  }

  /** Takes a message of another process. */
  public void received(GossipMessage message, long now) {
    if (!started) {
      return;
    }
    notePause(now);
    merge(message.updates(), !(message instanceof GossipMessage.SyncReply), now);
    if (message instanceof GossipMessage.SyncRequest request) {
      learn(request.self(), true, now);
    }
    if (!message.header().address().equals(self.member().address())) {
      noteOrigin(message.header(), now);
      answer(message, now);
    }
    schedule();
  }

  private void answer(GossipMessage message, long now) {
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

  private void merge(GossipUpdates updates, boolean spread, long now) {
    for (Member member : updates.members()) {
      learn(member, spread, now);
    }
    for (StateUpdate update : updates.states()) {
      if (update.memberId() != self.member().shortId()) {
        table.apply(update, now);
      } else if (self.refute(update)) {
        health.add(1);
      }
    }
  }

  private void learn(Member member, boolean spread, long now) {
    if (member.address().equals(self.member().address())) {
      self.refute(member);
    } else if (table.learn(member, spread, now)) {
      prober.add(member.address());
    }
  }

  /** A message proves the generation of its origin, and that an older incarnation is gone. */
  private void noteOrigin(GossipHeader origin, long now) {
    MemberEntry entry = table.find(origin.memberId());
    if (entry == null) {
      introduce(origin, now);
      return;
    }
    if (origin.generation() > entry.member().generation()) {
      StateUpdate alive =
          new StateUpdate(
              origin.memberId(), MemberState.ALIVE, origin.generation(), origin.draining(), 0);
      table.apply(alive, now);
    }
    table.noteOffset(entry, origin.memberId(), origin.configurationOffset());
  }

  private void introduce(GossipHeader origin, long now) {
    if (now - introductionsSince >= SECOND_NANOS) {
      introductionsSince = now;
      introductions = 0;
    }
    if (introductions >= MAX_INTRODUCTIONS_PER_SECOND) {
      return;
    }
    introductions++;
    MemberEntry rival = table.at(origin.address());
    antiEntropy.introduce(origin.address(), rival == null ? null : rival.member());
  }

  /** Announces the planned leave; go on ticking for a few seconds so that the news spreads. */
  public void leave(long now) {
    if (self.hasLeft()) {
      return;
    }
    self.leave();
    for (int i = 0; i < LEAVE_CONTACTS && i < table.liveCount(); i++) {
      Member receiver = table.live().get(random.nextInt(table.liveCount()));
      outbox.ping(receiver.address(), prober.nextSequence());
    }
    schedule();
  }

  /** Sets the configuration offset that is in force here. */
  public void configurationOffset(long offset) {
    self.configurationOffset(offset);
  }

  /** Sets whether this process prepares a planned stop. */
  public void draining(boolean draining) {
    self.draining(draining);
  }

  /** This process as others should see it. */
  public Member self() {
    return self.member();
  }

  /**
   * Members that are alive or suspect, this process included unless it left; an immutable list that
   * is made anew only after a change.
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

  /** What is known of an address, dead and left members included until they are reclaimed. */
  public @Nullable Member find(String address) {
    if (address.equals(self.member().address())) {
      return self.member();
    }
    MemberEntry entry = table.at(address);
    return entry == null ? null : entry.member();
  }

  /** Local health score, 0 if this process trusts its probes. */
  public int healthScore() {
    return health.score();
  }

  private void notePause(long now) {
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
