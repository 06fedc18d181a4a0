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
 * Failure detector that probes the members one by one in random order, first directly and then
 * through helpers.
 *
 * <p>A member whose probe is not acknowledged within the probe interval becomes suspect.
 */
public final class Prober {

  private static final class Probe {
    private final long sequence;
    private final Member target;
    private long resendAt;
    private boolean acked;
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

  /** Creates the prober of one membership. */
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

  /** Schedules the first probe at a random time within the probe interval. */
  public void start(long now) {
    nextAt = now + random.nextLong(settings.probeIntervalNanos());
  }

  /** Inserts an address at a random position of the probe order. */
  public void add(String address) {
    int index = random.nextInt(order.size() + 1);
    order.add(index, address);
    if (index < position) {
      position++;
    }
  }

  /** Returns the sequence number for the next message that requires a reply. */
  public long nextSequence() {
    return ++sequence;
  }

  /** Returns the time of the next action. */
  public long nextTick() {
    Probe probe = current;
    if (probe != null && !probe.acked && probe.resendAt - nextAt < 0) {
      return probe.resendAt;
    }
    return nextAt;
  }

  /** Performs the actions that are due. */
  public void tick(long now) {
    Probe probe = current;
    if (probe != null && !probe.acked && now - probe.resendAt >= 0) {
      resend(probe, now);
    }
    if (now - nextAt >= 0) {
      finishProbe(now);
      startProbe(now);
    }
  }

  /** Abandons the current probe without a result, after a pause of this process. */
  public void abandon(long now) {
    current = null;
    nextAt = now + random.nextLong(settings.probeIntervalNanos());
  }

  private void startProbe(long now) {
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
      MemberEntry entry = table.findByAddress(order.get(position));
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
      requestHelpers(probe);
    }
    outbox.pingUnresponsive(probe.target, probe.sequence);
  }

  private void requestHelpers(Probe probe) {
    for (Member helper : Sampling.choose(table.live(), settings.helpers() + 1, random)) {
      boolean hasEnough = probe.helpers >= settings.helpers();
      if (hasEnough || helper.address().equals(probe.target.address())) {
        continue;
      }
      probe.helpers++;
      outbox.pingRequest(helper.address(), probe.sequence, probe.target);
    }
    probe.helpers = Math.max(1, probe.helpers);
  }

  private void finishProbe(long now) {
    Probe probe = current;
    current = null;
    if (probe == null || probe.acked) {
      return;
    }
    health.add(probe.nacks == 0 ? 1 : 0);
    MemberEntry entry = table.findByShortId(probe.target.shortId());
    if (entry == null || !entry.member().state().isLive()) {
      return;
    }
    int suspector = (int) self.member().shortId();
    Member suspect = entry.member().with(MemberState.SUSPECT, entry.member().generation());
    table.apply(StateUpdate.of(suspect, suspector), now);
    outbox.pingUnresponsive(suspect, nextSequence());
  }

  /** Handles an ack, received directly or through a helper. */
  public void received(GossipMessage.Ack ack) {
    Probe probe = current;
    if (probe == null || ack.sequence() != probe.sequence || probe.acked) {
      return;
    }
    probe.acked = true;
    GossipHeader responder = ack.header();
    health.add(responder.memberId() == probe.target.shortId() ? -1 : 0);
  }

  /** Handles a helper's report that the target did not answer. */
  public void received(GossipMessage.Nack nack) {
    Probe probe = current;
    if (probe != null && nack.sequence() == probe.sequence) {
      probe.nacks++;
    }
  }
}
