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
 * Contacts addresses at which an unknown member may be running: those of dead members and of hosts
 * in the host list, most of which may have been removed.
 *
 * <p>All members together contact each such address about once per interval, so that a group
 * reunites after a network partition. A member without live ones contacts twice as many addresses
 * in each interval, so that it finds a live one among many removed ones.
 */
public final class Reconnector {

  private static final int JOIN_CONTACTS = 3;

  /** Bound of the addresses that one member contacts in an interval. */
  private static final int MAX_CONTACTS = 32;

  private final MembershipSettings settings;
  private final LocalMember self;
  private final MemberTable table;
  private final Outbox outbox;
  private final AntiEntropy antiEntropy;
  private final RandomGenerator random;
  private final Set<String> seeds = new TreeSet<>();
  private int joinContacts = JOIN_CONTACTS;
  private long nextAt;

  /** Creates the reconnector of one membership. */
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

  /** Schedules the first contacts. */
  public void start(long now) {
    nextAt = now;
  }

  /** Replaces the seed addresses; a process without live members contacts some immediately. */
  public void seed(Collection<String> addresses, long now) {
    seeds.clear();
    seeds.addAll(addresses);
    seeds.remove(self.member().address());
    if (table.liveCount() == 0) {
      nextAt = now;
    }
  }

  /** Returns the time of the next action. */
  public long nextTick() {
    return nextAt;
  }

  /** Performs the action that is due. */
  public void tick(long now) {
    if (now - nextAt < 0) {
      return;
    }
    nextAt = now + jittered(settings.reconnectIntervalNanos());
    List<String> candidates = candidates();
    Sampling.choose(candidates, contacts(candidates.size()), random).forEach(this::contact);
  }

  private int contacts(int candidates) {
    if (table.liveCount() == 0) {
      int contacts = joinContacts;
      joinContacts = Math.min(MAX_CONTACTS, 2 * joinContacts);
      return contacts;
    }
    joinContacts = JOIN_CONTACTS;
    double share = (double) candidates / table.liveCount();
    return (int) Math.min(MAX_CONTACTS, share + random.nextDouble());
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
