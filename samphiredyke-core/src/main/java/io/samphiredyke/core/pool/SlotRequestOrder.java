package io.samphiredyke.core.pool;

import java.util.Comparator;

/**
 * Order in which waiting claims get places: rank first, then those that can still be on time, then
 * value for the expected engine time, then age.
 */
final class SlotRequestOrder implements Comparator<SlotRequest> {

  /** How far value may outweigh cost, either way, so that no size of request starves. */
  private static final double MAX_DENSITY_RATIO = 2;

  private final long now;

  SlotRequestOrder(long now) {
    this.now = now;
  }

  @Override
  public int compare(SlotRequest left, SlotRequest right) {
    int byRank = Integer.compare(left.rank(), right.rank());
    if (byRank != 0) {
      return byRank;
    }
    int byDue = Boolean.compare(left.objectiveDeadline() < now, right.objectiveDeadline() < now);
    if (byDue != 0) {
      return byDue;
    }
    int byDensity = Double.compare(density(right), density(left));
    return byDensity != 0
        ? byDensity
        : Long.compare(left.objectiveDeadline(), right.objectiveDeadline());
  }

  private static double density(SlotRequest claim) {
    WorkEstimate work = claim.estimate();
    if (!work.isGeneration()) {
      return 1;
    }
    double millis =
        LatencyModel.firstEventMillis()
            + LatencyModel.prefillMillis(work.promptTokens(), work.promptTokens())
            + LatencyModel.decodeMillis(work.outputTokens(), 1);
    double density = claim.value() * 400 / millis;
    return Math.max(1 / MAX_DENSITY_RATIO, Math.min(MAX_DENSITY_RATIO, density));
  }
}
