package io.samphiredyke.core.rollout;

/** Estimate of the median of positive numbers that arrive one after the other. */
final class RunningMedian {

  /** Smallest relative step, so that the estimate follows a change of the median. */
  private static final double MIN_STEP = 0.02;

  private double logMedian;
  private long count;

  void add(double value) {
    double log = Math.log(value);
    count++;
    logMedian = count == 1 ? log : logMedian + Math.signum(log - logMedian) * step();
  }

  private double step() {
    return Math.max(MIN_STEP, 1.0 / count);
  }

  long count() {
    return count;
  }

  double value() {
    return Math.exp(logMedian);
  }
}
