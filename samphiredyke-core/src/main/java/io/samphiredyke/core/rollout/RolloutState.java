package io.samphiredyke.core.rollout;

import org.jspecify.annotations.Nullable;

/**
 * Stage that a roll-out has reached.
 *
 * @param order the order
 * @param stage its stage
 * @param elapsedMillis time since the order, milliseconds, when this state was made or received
 * @param reason why the stage was entered
 */
public record RolloutState(
    RolloutOrder order, RolloutStage stage, long elapsedMillis, String reason) {

  /** Returns the state of a roll-out that begins. */
  public static RolloutState begin(RolloutOrder order) {
    return new RolloutState(order, RolloutStage.CANARY, 0, "ordered");
  }

  /** Returns whether this state replaces a known one of the same service. */
  public boolean supersedes(@Nullable RolloutState known) {
    if (known == null || order.offset() != known.order().offset()) {
      return known == null || order.offset() > known.order().offset();
    }
    return stage.compareTo(known.stage()) > 0;
  }

  /** Returns the state after a decision. */
  public RolloutState next(RolloutStage nextStage, long nowElapsedMillis, String nextReason) {
    return new RolloutState(order, nextStage, nowElapsedMillis, nextReason);
  }
}
