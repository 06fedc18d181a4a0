package io.samphiredyke.core.membership.internal;

import io.samphiredyke.core.membership.GossipUpdates;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.membership.StateUpdate;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Queue of updates to be disseminated, which gives precedence to those sent least often.
 *
 * <p>It holds at most one update for each member; a newer one replaces it.
 */
public final class UpdateQueue {

  private static final int CONGESTION_THRESHOLD = 16;

  private static final class Pending {
    private final StateUpdate update;
    private final @Nullable Member member;
    private int sends;

    Pending(StateUpdate update, @Nullable Member member) {
      this.update = update;
      this.member = member;
    }

    int size() {
      return member == null ? update.encodedSize() : member.encodedSize();
    }
  }

  private final Map<Long, Pending> byMemberId = new HashMap<>();
  private final List<Pending> order = new ArrayList<>();

  /** Queues the full description of a member that receivers may not know. */
  public void offerMember(Member member) {
    put(new Pending(StateUpdate.of(member, 0), member));
  }

  /**
   * Queues a state change; the full description is sent if one was still queued.
   *
   * @param member the member after the change
   * @param suspector lower 32 bits of the short id of the suspecting member, 0 if none
   */
  public void offerState(Member member, int suspector) {
    Pending old = byMemberId.get(member.shortId());
    boolean isFull = old != null && old.member != null;
    put(new Pending(StateUpdate.of(member, suspector), isFull ? member : null));
  }

  private void put(Pending pending) {
    Pending old = byMemberId.put(pending.update.memberId(), pending);
    if (old != null) {
      order.remove(old);
    }
    order.add(pending);
  }

  /**
   * Counts an update received from another member as sent once more, if so many updates are queued
   * that they delay each other.
   */
  public void noteReceived(long memberId) {
    Pending pending = byMemberId.get(memberId);
    if (pending != null && order.size() > CONGESTION_THRESHOLD) {
      pending.sends++;
    }
  }

  /**
   * Returns the updates for one message and counts them as sent.
   *
   * @param maxBytes maximum size of the updates in bytes
   * @param maxSends number of sends after which an update is removed
   */
  public GossipUpdates take(int maxBytes, int maxSends) {
    if (order.isEmpty()) {
      return GossipUpdates.NONE;
    }
    order.sort(Comparator.comparingInt(pending -> pending.sends));
    List<Member> members = new ArrayList<>();
    List<StateUpdate> states = new ArrayList<>();
    int bytes = 0;
    for (Pending pending : order) {
      bytes += pending.size();
      if (bytes > maxBytes) {
        break;
      }
      pending.sends++;
      if (pending.member != null) {
        members.add(pending.member);
      } else {
        states.add(pending.update);
      }
    }
    removeFullySent(maxSends);
    return new GossipUpdates(members, states);
  }

  private void removeFullySent(int maxSends) {
    order.removeIf(
        pending -> {
          boolean sent = pending.sends >= maxSends;
          if (sent) {
            byMemberId.remove(pending.update.memberId());
          }
          return sent;
        });
  }
}
