package io.samphiredyke.core.membership.internal;

import io.samphiredyke.core.membership.Member;
import org.jspecify.annotations.Nullable;

/** What a {@link MemberTable} keeps for one address. */
public final class MemberEntry {

  private Member member;
  private long changedAt;
  private @Nullable Suspicion suspicion;

  MemberEntry(Member member, long now) {
    this.member = member;
    this.changedAt = now;
  }

  /** The newest known member at the address. */
  public Member member() {
    return member;
  }

  /** Time of the last change of state. */
  public long changedAt() {
    return changedAt;
  }

  /** The running suspicion, null unless the member is suspect. */
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
