package io.samphiredyke.core.pool;

import java.util.List;

/** Mean of the work of the recent requests of a service. */
final class AverageWork {

  /** Requests over which the mean is taken, and after which it is compared with its last value. */
  private static final int INTERVAL = 512;

  /** Share by which the mean must have changed to replace the last value. */
  private static final double MIN_CHANGE = 0.1;

  private int requests;
  private double meanPromptTokens;
  private double meanOutputTokens;
  private WorkEstimate value = WorkEstimate.PLAIN;

  /** Adds the work of a request; returns whether the value has changed. */
  boolean learn(WorkEstimate work) {
    requests++;
    double weight = 1.0 / Math.min(requests, INTERVAL);
    meanPromptTokens += weight * (work.promptTokens() - meanPromptTokens);
    meanOutputTokens += weight * (work.outputTokens() - meanOutputTokens);
    if (requests % INTERVAL != 1 || !hasChanged()) {
      return false;
    }
    value = new WorkEstimate((int) meanPromptTokens, (int) meanOutputTokens, List.of());
    return true;
  }

  private boolean hasChanged() {
    double change =
        Math.abs(meanPromptTokens - value.promptTokens())
            + Math.abs(meanOutputTokens - value.outputTokens());
    return change > MIN_CHANGE * (meanPromptTokens + meanOutputTokens);
  }

  WorkEstimate value() {
    return value;
  }
}
