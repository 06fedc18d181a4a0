package io.samphiredyke.core.rollout;

import org.jspecify.annotations.Nullable;

/**
 * Decides when a roll-out enters its next stage, from its time and the answers of both versions.
 *
 * <p>Without state: the host that decides may change at any time.
 */
public final class RolloutController {

  /** Fractions of the order's time. */
  private static final double EARLIEST_EXPANSION = 0.45;

  private static final double EXPANSION_WITH_FEW_ANSWERS = 0.6;
  private static final double EARLIEST_COMPLETION = 0.7;
  private static final double EXPANSION_IF_DISTURBED = 0.7;
  private static final double LATEST_COMPLETION = 0.85;
  private static final double MIN_EXPANDING = 0.1;
  private static final double MIN_COMPLETING = 0.05;

  /** Hosts report twice a second which requests still run. */
  private static final long MIN_COMPLETING_MILLIS = 600;

  /** A new scheduler awaits two reports of each host; one that lasts knows what it has granted. */
  private static final long REPORTS_MILLIS = 1_200;

  /** Leaves time to store the outcome. */
  private static final double LATEST_DECISION = 0.93;

  private static final long ENOUGH_ANSWERS = 40;
  private static final long FEW_ANSWERS = 10;

  /** Answers from which the expanding stage is not prolonged. */
  private static final long MANY_ANSWERS = 500;

  /** Largest share of the traffic that the canary stage uses. */
  private static final double MAX_CANARY_SHARE = 0.05;

  /** Part of the permitted exposure that the canary stage uses; the rest is left for later ones. */
  private static final double CANARY_PART_OF_EXPOSURE = 0.5;

  private static final double EXPANDED_SHARE = 0.5;

  private final double permittedExposure;

  /**
   * Creates a controller.
   *
   * @param permittedExposure share of a service's requests that a faulty version may get
   */
  public RolloutController(double permittedExposure) {
    this.permittedExposure = permittedExposure;
  }

  /** Applies a stage to the traffic of a scheduler. */
  public void apply(RolloutStage stage, VersionSplit split) {
    switch (stage) {
      case CANARY ->
          split.grantShare(Math.min(MAX_CANARY_SHARE, permittedExposure * CANARY_PART_OF_EXPOSURE));
      case EXPANDING -> split.grantShare(EXPANDED_SHARE);
      case COMPLETING, SUCCEEDED -> split.complete();
      case ROLLED_BACK -> split.reject();
      default -> throw new IllegalArgumentException(stage.toString());
    }
  }

  /**
   * Returns the state that follows, or null to stay.
   *
   * @param elapsedMillis time since the order
   * @param inStageMillis time for which this host has decided in the stage
   * @param decidingMillis time for which this host has decided in any stage
   */
  public @Nullable RolloutState decide(
      RolloutState state,
      long elapsedMillis,
      long inStageMillis,
      long decidingMillis,
      RolloutEvidence evidence) {
    if (state.stage().isFinal()) {
      return null;
    }
    String finding = evidence.finding();
    if (finding != null) {
      return state.next(RolloutStage.ROLLED_BACK, elapsedMillis, finding);
    }
    double duration = state.order().durationMillis();
    double elapsed = elapsedMillis / duration;
    double inStage = inStageMillis / duration;
    if (state.stage() == RolloutStage.COMPLETING) {
      boolean isComplete =
          inStage >= MIN_COMPLETING
              && inStageMillis >= MIN_COMPLETING_MILLIS
              && decidingMillis >= REPORTS_MILLIS;
      return isComplete && evidence.oldRunning() == 0
          ? state.next(RolloutStage.SUCCEEDED, elapsedMillis, "nothing runs at the old version")
          : null;
    }
    if (elapsed >= LATEST_DECISION) {
      return state.next(
          RolloutStage.ROLLED_BACK, elapsedMillis, "out of time in stage " + state.stage());
    }
    if (state.stage() == RolloutStage.EXPANDING) {
      boolean isClear = !evidence.isDisturbed() && evidence.newAnswers() >= MANY_ANSWERS;
      double earliest = isClear ? EARLIEST_COMPLETION : LATEST_COMPLETION;
      return elapsed >= earliest && inStage >= MIN_EXPANDING
          ? state.next(RolloutStage.COMPLETING, elapsedMillis, "not worse at half of the traffic")
          : null;
    }
    boolean mayExpand = !evidence.isDisturbed() || elapsed >= EXPANSION_IF_DISTURBED;
    return mayExpand && hasEnoughEvidence(elapsed, evidence.newAnswers())
        ? state.next(RolloutStage.EXPANDING, elapsedMillis, "not worse as a canary")
        : null;
  }

  private static boolean hasEnoughEvidence(double elapsed, long answers) {
    return (elapsed >= EARLIEST_EXPANSION && answers >= ENOUGH_ANSWERS)
        || (elapsed >= EXPANSION_WITH_FEW_ANSWERS && answers >= FEW_ANSWERS);
  }
}
