package io.samphiredyke.core.rollout;

/** Stage of a roll-out. Of two stages of one order the later constant is in force. */
public enum RolloutStage {
  /** The new version gets a small part of the traffic. */
  CANARY,
  /** The new version gets a large part of the traffic. */
  EXPANDING,
  /** The new version gets all new requests; those that run at the old one end. */
  COMPLETING,
  /** The new version gets nothing. */
  ROLLED_BACK,
  /** The old version is no longer needed. */
  SUCCEEDED;

  /** Returns whether the roll-out has ended. */
  public boolean isFinal() {
    return this == ROLLED_BACK || this == SUCCEEDED;
  }
}
