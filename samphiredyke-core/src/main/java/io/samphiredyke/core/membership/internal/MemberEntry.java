package io.samphiredyke.core.membership.internal;

import io.samphiredyke.core.membership.Member;
import org.jspecify.annotations.Nullable;

/** Entry of a {@link MemberTable} for one address. */
public final class MemberEntry {

  private Member member;
  private long changedAt;
  private @Nullable Suspicion suspicion;

  MemberEntry(Member member, long now) {
    this.member = member;
    this.changedAt = now;
  }

  /** Returns the newest known member at the address. */
  public Member member() {
    return member;
  }

  /** Returns the time of the last state change. */
  public long changedAt() {
    return changedAt;
  }

  /** Returns the current suspicion, null unless the member is suspect. */
  public @Nullable Suspicion suspicion() {
    return suspicion;
  }

  void replace(Member newMember, long now) {
    if (newMember.state() != member.state()) {
      changedAt = now;
    }
    member = newMember;
  }

  void setSuspicion(@Nullable Suspicion newSuspicion) {
    suspicion = newSuspicion;
  }
}
