package io.samphiredyke.core.membership;

/**
 * State of a member, in rising precedence: of two updates with the same generation the later
 * constant wins.
 */
public enum MemberState {
  /** Answers probes. */
  ALIVE,
  /** Left probes unanswered and may still refute the suspicion. */
  SUSPECT,
  /** Did not refute the suspicion in time. */
  DEAD,
  /** Announced its own planned leave. */
  LEFT;

  /** Whether work may still be given to the member. */
  public boolean isLive() {
    return this == ALIVE || this == SUSPECT;
  }
}
