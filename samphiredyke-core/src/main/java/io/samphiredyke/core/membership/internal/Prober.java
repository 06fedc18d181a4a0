package io.samphiredyke.core.membership.internal;

import io.samphiredyke.core.membership.GossipHeader;
import io.samphiredyke.core.membership.GossipMessage;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.membership.MemberState;
import io.samphiredyke.core.membership.MembershipSettings;
import io.samphiredyke.core.membership.StateUpdate;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Probes one member after the other in a random order, directly and then through helpers.
 *
 * <p>A probe that stays unanswered for its interval makes the member suspect.
 */
public final class Prober {

  private static final class Probe {
    private final long sequence;
    private final Member target;
    private long resendAt;
    private boolean answered;
    private int helpers;
    private int nacks;

    Probe(long sequence, Member target, long resendAt) {
      this.sequence = sequence;
      this.target = target;
      this.resendAt = resendAt;
    }
  }

  private final MembershipSettings settings;
  private final LocalMember self;
  private final MemberTable table;
  private final Outbox outbox;
  private final LocalHealth health;
  private final RandomGenerator random;
  private final List<String> order = new ArrayList<>();
  private int position;
  private long sequence;
  private @Nullable Probe current;
  private long nextAt;

  /** Creates a prober over the parts of one membership. */
  public Prober(
      MembershipSettings settings,
      LocalMember self,
      MemberTable table,
      Outbox outbox,
      LocalHealth health,
      RandomGenerator random) {
    this.settings = settings;
    this.self = self;
    this.table = table;
    this.outbox = outbox;
    this.health = health;
    this.random = random;
  }

  /** Starts at a random phase of the interval. */
  public void start(long now) {
    nextAt = now + random.nextLong(settings.probeIntervalNanos());
  }

  /** Adds an address at a random place of the order. */
  public void add(String address) {
    int place = random.nextInt(order.size() + 1);
    order.add(place, address);
    if (place < position) {
      position++;
    }
  }

  /** Next number for a message that wants an answer. */
  public long nextSequence() {
    return ++sequence;
  }

  /** Time of the next step. */
  public long nextTick() {
    Probe probe = current;
    if (probe != null && !probe.answered && probe.resendAt - nextAt < 0) {
      return probe.resendAt;
    }
    return nextAt;
  }

  /** Takes the steps that are due. */
  public void tick(long now) {
    Probe probe = current;
    if (probe != null && !probe.answered && now - probe.resendAt >= 0) {
      resend(probe, now);
    }
    if (now - nextAt >= 0) {
      finish(now);
      begin(now);
    }
  }

  /** Gives up the current probe without a verdict, after this process was paused. */
  public void abandon(long now) {
    current = null;
    nextAt = now + random.nextLong(settings.probeIntervalNanos());
  }

  private void begin(long now) {
    nextAt = now + health.scale(settings.probeIntervalNanos());
    Member target = nextTarget();
    if (target == null) {
      return;
    }
    long resendAt = now + health.scale(settings.pingTimeoutNanos());
    current = new Probe(nextSequence(), target, resendAt);
    outbox.ping(target.address(), sequence);
  }

  private @Nullable Member nextTarget() {
    for (int tries = order.size(); tries > 0; tries--) {
      if (position >= order.size()) {
        shuffle();
      }
      MemberEntry entry = table.at(order.get(position));
      if (entry == null) {
        order.remove(position);
        continue;
      }
      position++;
      if (entry.member().state().isLive()) {
        return entry.member();
      }
    }
    return null;
  }

  private void shuffle() {
    position = 0;
    for (int i = order.size() - 1; i > 0; i--) {
      int other = random.nextInt(i + 1);
      String swapped = order.get(i);
      order.set(i, order.get(other));
      order.set(other, swapped);
    }
  }

  private void resend(Probe probe, long now) {
    probe.resendAt = now + health.scale(settings.pingTimeoutNanos());
    if (probe.helpers == 0) {
      askHelpers(probe);
    }
    outbox.pingUnanswering(probe.target, probe.sequence);
  }

  private void askHelpers(Probe probe) {
    for (Member helper : Sampling.choose(table.live(), settings.helpers() + 1, random)) {
      boolean enough = probe.helpers >= settings.helpers();
      if (enough || helper.address().equals(probe.target.address())) {
        continue;
      }
      probe.helpers++;
      outbox.pingRequest(helper.address(), probe.sequence, probe.target);
    }
    probe.helpers = Math.max(1, probe.helpers);
  }

  private void finish(long now) {
    Probe probe = current;
    current = null;
    if (probe == null || probe.answered) {
      return;
    }
    health.add(probe.nacks == 0 ? 1 : 0);
    MemberEntry entry = table.find(probe.target.shortId());
    if (entry == null || !entry.member().state().isLive()) {
      return;
    }
    int accuser = (int) self.member().shortId();
    Member suspect = entry.member().with(MemberState.SUSPECT, entry.member().generation());
    table.apply(StateUpdate.of(suspect, accuser), now);
    outbox.pingUnanswering(suspect, nextSequence());
  }

  /** Takes an answer, direct or through a helper. */
  public void received(GossipMessage.Ack ack) {
    Probe probe = current;
    if (probe == null || ack.sequence() != probe.sequence || probe.answered) {
      return;
    }
    probe.answered = true;
    GossipHeader answering = ack.header();
    health.add(answering.memberId() == probe.target.shortId() ? -1 : 0);
  }

  /** Takes a helper's word that the target does not answer. */
  public void received(GossipMessage.Nack nack) {
    Probe probe = current;
    if (probe != null && nack.sequence() == probe.sequence) {
      probe.nacks++;
    }
  }
}
