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
 * Updates that still have to be sent, the least often sent first.
 *
 * <p>There is at most one update for each member; a newer one replaces it.
 */
public final class UpdateQueue {

  private static final int UNCROWDED = 16;

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

  private final Map<Long, Pending> bySubject = new HashMap<>();
  private final List<Pending> order = new ArrayList<>();

  /** Queues a member that receivers may not know. */
  public void offerMember(Member member) {
    put(new Pending(StateUpdate.of(member, 0), member));
  }

  /**
   * Queues a change of state; the member is sent whole if it was still queued whole.
   *
   * @param member the member after the change
   * @param accuser short form of the accuser, 0 if none
   */
  public void offerState(Member member, int accuser) {
    Pending old = bySubject.get(member.shortId());
    boolean whole = old != null && old.member != null;
    put(new Pending(StateUpdate.of(member, accuser), whole ? member : null));
  }

  private void put(Pending pending) {
    Pending old = bySubject.put(pending.update.memberId(), pending);
    if (old != null) {
      order.remove(old);
    }
    order.add(pending);
  }

  /**
   * Counts an update that came from another member as if it had been sent once more, if so many
   * updates wait that they delay each other.
   */
  public void heard(long memberId) {
    Pending pending = bySubject.get(memberId);
    if (pending != null && order.size() > UNCROWDED) {
      pending.sends++;
    }
  }

  /**
   * Takes the updates for one message.
   *
   * @param maxBytes largest size of the updates, bytes
   * @param maxSends number of times that an update is sent in all
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
    forgetSent(maxSends);
    return new GossipUpdates(members, states);
  }

  private void forgetSent(int maxSends) {
    order.removeIf(
        pending -> {
          boolean sent = pending.sends >= maxSends;
          if (sent) {
            bySubject.remove(pending.update.memberId());
          }
          return sent;
        });
  }
}
