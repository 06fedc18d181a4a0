package io.samphiredyke.gateway.request;

import java.util.HashMap;
import java.util.Map;

/** Learns the usual size of each route's generations, against which one is weighed. */
final class RequestValueEstimator {

  /** A generated token counts as ten of the prompt, as the users weigh them. */
  private static final int OUTPUT_WEIGHT = 10;

  /** Share of the benefit that does not depend on the size. */
  private static final double BASE = 0.3;

  /** Largest benefit of a generation against the mean of its route. */
  private static final double MAX_VALUE = 4;

  /** Weight of a new size in the mean; about the last fifty requests count. */
  private static final double LEARNING_RATE = 0.02;

  private final Map<String, Double> meanSizes = new HashMap<>();

  /** Returns the value of a request and learns its size. */
  double value(String route, int promptTokens, int outputTokens) {
    double size = promptTokens + (double) OUTPUT_WEIGHT * outputTokens;
    if (size == 0) {
      return 1;
    }
    double mean = meanSizes.getOrDefault(route, size);
    meanSizes.put(route, mean + LEARNING_RATE * (size - mean));
    return Math.min(MAX_VALUE, BASE + (1 - BASE) * size / mean);
  }
}
