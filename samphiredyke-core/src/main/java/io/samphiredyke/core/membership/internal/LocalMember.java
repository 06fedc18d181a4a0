package io.samphiredyke.core.membership.internal;

import io.samphiredyke.core.membership.GossipHeader;
import io.samphiredyke.core.membership.Member;
import io.samphiredyke.core.membership.MemberState;
import io.samphiredyke.core.membership.StateUpdate;

/** This process as a member; only it raises its generation. */
public final class LocalMember {

  private final UpdateQueue queue;
  private Member member;
  private GossipHeader header;

  /**
   * Creates the local member.
   *
   * @param member this process in state {@link MemberState#ALIVE}
   * @param queue receives changes
   */
  public LocalMember(Member member, UpdateQueue queue) {
    this.queue = queue;
    this.member = member;
    this.header = GossipHeader.of(member);
  }

  /** This process as others should see it. */
  public Member member() {
    return member;
  }

  /** Header of its messages. */
  public GossipHeader header() {
    return header;
  }

  /** Whether it announced its leave. */
  public boolean hasLeft() {
    return member.state() == MemberState.LEFT;
  }

  /** Sets the configuration offset in force; raises no generation. */
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

  /** Announces the planned leave. */
  public void leave() {
    announce(member.with(MemberState.LEFT, member.generation() + 1));
  }

  /**
   * Answers what others say of this address with a higher generation, if it would replace this
   * member.
   *
   * @return whether it had to be answered
   */
  public boolean refute(Member claim) {
    if (hasLeft() || !claim.supersedes(member)) {
      return false;
    }
    announce(member.with(MemberState.ALIVE, claim.generation() + 1));
    return true;
  }

  /** Answers a change of state, see {@link #refute(Member)}. */
  public boolean refute(StateUpdate update) {
    return refute(update.applyTo(member));
  }

  private void announce(Member changed) {
    member = changed;
    header = GossipHeader.of(changed);
    queue.offerMember(changed);
  }
}
