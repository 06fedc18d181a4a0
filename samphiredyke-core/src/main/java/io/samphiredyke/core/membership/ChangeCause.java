package io.samphiredyke.core.membership;

/** Cause of a change of a member's state in the local view. */
public enum ChangeCause {
  /** A new incarnation became known. */
  JOINED,
  /** The member did not answer probes. */
  SUSPECTED,
  /** The member refuted a suspicion or a report of its death with a higher generation. */
  REFUTED,
  /** The suspicion was not refuted in time; the member may still be running. */
  TIMED_OUT,
  /** The member announced its planned leave. */
  LEFT,
  /** A newer incarnation uses the address, so this one has certainly ended. */
  SUPERSEDED,
  /** The member changed its draining flag. */
  UPDATED
}
