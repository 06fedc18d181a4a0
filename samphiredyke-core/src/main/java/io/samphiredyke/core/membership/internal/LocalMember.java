package io.samphiredyke.core.membership.internal;

import io.samphiredyke.core.membership.GossipHeader;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.membership.MemberState;
import io.samphiredyke.core.membership.StateUpdate;

/** This process as a member of the group. Only this process increments its generation. */
public final class LocalMember {

  private final UpdateQueue queue;
  private Member member;
  private GossipHeader header;

  /**
   * Creates the local member.
   *
   * @param member this process in state {@link MemberState#ALIVE}
   * @param queue queue for changes of this member
   */
  public LocalMember(Member member, UpdateQueue queue) {
    this.queue = queue;
    this.member = member;
    this.header = GossipHeader.of(member);
  }

  /** Returns this process as announced to other members. */
  public Member member() {
    return member;
  }

  /** Returns the header for messages of this process. */
  public GossipHeader header() {
    return header;
  }

  /** Returns whether this process has announced that it leaves the group. */
  public boolean hasLeft() {
    return member.state() == MemberState.LEFT;
  }

  /** Sets the configuration offset in force, without incrementing the generation. */
  public void configurationOffset(long offset) {
    member = member.withConfigurationOffset(offset);
    header = GossipHeader.of(member);
  }

  /** Sets the draining flag. */
  public void draining(boolean draining) {
    if (draining == member.draining()) {
      return;
    }
    Member changed = member.toBuilder().draining(draining).build();
    announce(changed.with(changed.state(), changed.generation() + 1));
  }

  /** Announces that this process leaves the group. */
  public void leave() {
    announce(member.with(MemberState.LEFT, member.generation() + 1));
  }

  /**
   * Refutes what another member reports about this address, by a higher generation, if the report
   * would supersede this member.
   *
   * @return whether a refutation was needed
   */
  public boolean refute(Member report) {
    if (hasLeft() || !report.supersedes(member)) {
      return false;
    }
    announce(member.with(MemberState.ALIVE, report.generation() + 1));
    return true;
  }

  /** Refutes a state update of this member, see {@link #refute(Member)}. */
  public boolean refute(StateUpdate update) {
    return refute(update.applyTo(member));
  }

  private void announce(Member changed) {
    member = changed;
    header = GossipHeader.of(changed);
    queue.offerMember(changed);
  }
}
