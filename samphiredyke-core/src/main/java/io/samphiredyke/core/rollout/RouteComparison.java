package io.samphiredyke.core.rollout;

import org.jspecify.annotations.Nullable;

/** Compares the failures and times of two software versions on one route. */
final class RouteComparison {

  /** An answer is slow if it took this many times the old version's median. */
  private static final double SLOW_FACTOR = 2;

  /** Answers of the old version from which its median is known. */
  private static final int MIN_TIMED = 20;

  /** Shares of a version's endpoints that must show a fault of the version. */
  private static final double MOST = 0.7;

  /** Sound endpoints rarely differ from themselves, so fewer are enough. */
  private static final double SEVERAL = 0.3;

  private final FaultComparison failures = new FaultComparison(false, MOST);
  private final FaultComparison slowness = new FaultComparison(true, MOST);
  private final FaultComparison unsteadiness = new FaultComparison(false, SEVERAL);
  private final RunningMedian oldMedian = new RunningMedian();

  /**
   * Records an answer of the old version.
   *
   * @param isUnsteady whether it was slow for its endpoint
   */
  void oldAnswered(Answer answer, boolean isUnsteady, long now) {
    failures.oldAnswered(answer.endpointId(), answer.hasFailed(), now);
    if (!answer.isTimed()) {
      return;
    }
    oldMedian.add(answer.timeRatio());
    unsteadiness.oldAnswered(answer.endpointId(), isUnsteady, now);
    if (oldMedian.count() >= MIN_TIMED) {
      slowness.oldAnswered(answer.endpointId(), isSlow(answer), now);
    }
  }

  boolean isDisturbed(long now) {
    return failures.isDisturbed(now);
  }

  private boolean isSlow(Answer answer) {
    return answer.timeRatio() > SLOW_FACTOR * oldMedian.value();
  }

  /** Records an answer of the new version; returns in what that version is worse, or null. */
  @Nullable String newAnswered(Answer answer, boolean isUnsteady, int endpoints, long now) {
    String found = failures.newAnswered(answer.endpointId(), answer.hasFailed(), endpoints, now);
    if (found != null) {
      return "fails more: " + found;
    }
    if (!answer.isTimed() || oldMedian.count() < MIN_TIMED) {
      return null;
    }
    found = slowness.newAnswered(answer.endpointId(), isSlow(answer), endpoints, now);
    if (found != null) {
      return "is slower: " + found;
    }
    found = unsteadiness.newAnswered(answer.endpointId(), isUnsteady, endpoints, now);
    return found == null ? null : "is slower at times: " + found;
  }
}
