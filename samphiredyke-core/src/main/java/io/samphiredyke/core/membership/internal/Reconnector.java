package io.samphiredyke.core.membership.internal;

import io.samphiredyke.core.membership.MemberState;
import io.samphiredyke.core.membership.MembershipSettings;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

/**
 * Contacts addresses at which a member may run unseen: dead members and listed hosts.
 *
 * <p>All members together contact each such address about once in an interval, so that parts of a
 * group that were cut off from each other meet again.
 */
public final class Reconnector {

  private static final int JOIN_CONTACTS = 3;

  private final MembershipSettings settings;
  private final LocalMember self;
  private final MemberTable table;
  private final Outbox outbox;
  private final AntiEntropy antiEntropy;
  private final RandomGenerator random;
  private final Set<String> seeds = new TreeSet<>();
  private long nextAt;

  /** Creates a reconnector over the parts of one membership. */
  public Reconnector(
      MembershipSettings settings,
      LocalMember self,
      MemberTable table,
      Outbox outbox,
      AntiEntropy antiEntropy,
      RandomGenerator random) {
    this.settings = settings;
    this.self = self;
    this.table = table;
    this.outbox = outbox;
    this.antiEntropy = antiEntropy;
    this.random = random;
  }

  /** Starts the contacts. */
  public void start(long now) {
    nextAt = now;
  }

  /** Replaces the listed addresses; a process that knows no live member contacts some at once. */
  public void seed(Collection<String> addresses, long now) {
    seeds.clear();
    seeds.addAll(addresses);
    seeds.remove(self.member().address());
    if (table.liveCount() == 0) {
      nextAt = now;
    }
  }

  /** Time of the next step. */
  public long nextTick() {
    return nextAt;
  }

  /** Takes the step that is due. */
  public void tick(long now) {
    if (now - nextAt < 0) {
      return;
    }
    nextAt = now + jittered(settings.reconnectIntervalNanos());
    List<String> candidates = candidates();
    if (table.liveCount() == 0) {
      Sampling.choose(candidates, JOIN_CONTACTS, random).forEach(this::contact);
      return;
    }
    double share = (double) candidates.size() / table.liveCount();
    if (random.nextDouble() < share) {
      Sampling.choose(candidates, 1, random).forEach(this::contact);
    }
  }

  private long jittered(long nanos) {
    return nanos / 2 + random.nextLong(nanos);
  }

  private List<String> candidates() {
    List<String> candidates = new ArrayList<>();
    for (MemberEntry entry : table.entries()) {
      if (entry.member().state() == MemberState.DEAD) {
        candidates.add(entry.member().address());
      }
    }
    for (String seed : seeds) {
      if (table.findByAddress(seed) == null) {
        candidates.add(seed);
      }
    }
    return candidates;
  }

  private void contact(String address) {
    MemberEntry entry = table.findByAddress(address);
    if (entry == null || table.liveCount() == 0) {
      antiEntropy.compareWith(address, null);
    } else {
      outbox.pingUnresponsive(entry.member(), 0);
    }
  }
}
