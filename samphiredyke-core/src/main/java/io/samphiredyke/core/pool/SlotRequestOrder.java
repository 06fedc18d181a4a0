package io.samphiredyke.core.pool;

import java.util.Comparator;

/**
 * Order in which waiting requests get slots: by rank, then those that can still meet their latency
 * objective, then by value per expected engine time, then by objective deadline.
 */
final class SlotRequestOrder implements Comparator<SlotRequest> {

  /** Bounds the value density to [1/2, 2], so that neither long nor short requests starve. */
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
    int byDensity = Double.compare(valueDensity(right), valueDensity(left));
    return byDensity != 0
        ? byDensity
        : Long.compare(left.objectiveDeadline(), right.objectiveDeadline());
  }

  private static double valueDensity(SlotRequest request) {
    WorkEstimate work = request.estimate();
    if (!work.isGeneration()) {
      return 1;
    }
    double millis =
        LatencyModel.firstEventMillis()
            + LatencyModel.prefillMillis(work.promptTokens(), work.promptTokens())
            + LatencyModel.decodeMillis(work.outputTokens(), 1);
    double density = request.value() * 400 / millis;
    return Math.max(1 / MAX_DENSITY_RATIO, Math.min(MAX_DENSITY_RATIO, density));
  }
}
