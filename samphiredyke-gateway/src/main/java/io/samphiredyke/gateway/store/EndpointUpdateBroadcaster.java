package io.samphiredyke.gateway.store;

import io.samphiredyke.core.membership.BrokerAssignment;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.gateway.scheduling.PeerGroup;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.platform.StoreRecord;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Lets two hosts read the entries of endpoints and tell the others.
 *
 * <p>Each call to the store is priced, and heartbeats change little. A host that hears of no reader
 * for a while reads itself, so that a reader that is gone, frozen or cut off delays a change by
 * {@link #SILENCE} at most.
 */
public final class EndpointUpdateBroadcaster {

  /** Hosts that read; one alone would be missed at each of its stops. */
  private static final int READERS = 2;

  /**
   * Silence after which a host reads itself; with the reader's pace it stays within a drain bound.
   */
  private static final Duration SILENCE = Duration.ofMillis(1_100);

  private final ControlEventLoop loop;
  private final PeerGroup peers;
  private final String self;
  private final EndpointReceiver receiver;
  private final TopicFollower follower;
  private long heardAt = Long.MIN_VALUE;

  /** Creates the service. */
  public EndpointUpdateBroadcaster(
      ControlEventLoop loop,
      PeerGroup peers,
      String self,
      EndpointReceiver receiver,
      TopicFollower follower) {
    this.loop = loop;
    this.peers = peers;
    this.self = self;
    this.receiver = receiver;
    this.follower = follower;
    peers.onEndpointNews(this::heard);
  }

  /** Returns whether this host has to read the store itself. */
  public boolean mustRead() {
    boolean isSilent = heardAt == Long.MIN_VALUE || loop.nanoTime() - heardAt > SILENCE.toNanos();
    return isSilent || isReader();
  }

  /** Forgets that others were heard, so that this host reads itself at once. */
  public void distrust() {
    heardAt = Long.MIN_VALUE;
  }

  private boolean isReader() {
    List<Member> candidates = new ArrayList<>(peers.strongMembers());
    for (int reader = 0; reader < READERS; reader++) {
      Member chosen =
          BrokerAssignment.over(candidates)
              .brokers("endpoint-entries", "")
              .map(BrokerAssignment.Brokers::primary)
              .orElse(null);
      if (chosen == null || chosen.address().equals(self)) {
        return true;
      }
      candidates.remove(chosen);
    }
    return false;
  }

  /** Tells the other hosts what was read. */
  public void tell(long next) {
    if (isReader()) {
      peers.tellEndpointNews(receiver.coveredFrom(), next, receiver.changes());
    }
  }

  private void heard(long coveredFrom, long next, List<StoreRecord> changes) {
    long known = follower.next();
    if (known < 0 || coveredFrom > known) {
      return;
    }
    heardAt = loop.nanoTime();
    if (next <= known) {
      return;
    }
    List<StoreRecord> newer = new ArrayList<>();
    for (StoreRecord change : changes) {
      if (change.offset() >= known) {
        newer.add(change);
      }
    }
    follower.advance(next);
    if (follower.next() == next) {
      receiver.read(newer, next);
    }
  }
}
