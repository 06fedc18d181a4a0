package io.samphiredyke.core.membership;

/**
 * State of a member. The constants are in ascending precedence: of two updates with the same
 * generation, the one with the later constant wins.
 */
public enum MemberState {
  /** The member answers probes. */
  ALIVE,
  /** The member did not answer probes and can still refute the suspicion. */
  SUSPECT,
  /** The member did not refute the suspicion in time. */
  DEAD,
  /** The member announced that it leaves the group. */
  LEFT;

  /** Returns whether the member counts as live, so that it may still receive work. */
  public boolean isLive() {
    return this == ALIVE || this == SUSPECT;
  }
}
