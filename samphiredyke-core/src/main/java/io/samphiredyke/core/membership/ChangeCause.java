package io.samphiredyke.core.membership;

/** Why a member's state changed in the local view. */
public enum ChangeCause {
  /** An incarnation was heard of for the first time. */
  JOINED,
  /** Probes were left unanswered. */
  SUSPECTED,
  /** The member raised its generation against a suspicion or a verdict. */
  REFUTED,
  /** The suspicion was not refuted in time; the member may still run. */
  TIMED_OUT,
  /** The member announced its planned leave. */
  LEFT,
  /** Another incarnation has the address; the member is certainly gone. */
  SUPERSEDED,
  /** The member changed its draining flag. */
  UPDATED
}
