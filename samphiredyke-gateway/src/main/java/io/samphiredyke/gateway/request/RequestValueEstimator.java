package io.samphiredyke.gateway.request;

import java.util.HashMap;
import java.util.Map;

/** Estimates the value of a request from its size, relative to the mean size of its route. */
final class RequestValueEstimator {

  /** Weight of a generated token relative to a prompt token, as the users rate them. */
  private static final int OUTPUT_WEIGHT = 10;

  /** Part of the value that does not depend on the size. */
  private static final double BASE_VALUE = 0.3;

  /** Upper bound of the value; a request of mean size has value 1. */
  private static final double MAX_VALUE = 4;

  /** Weight of a new size in the moving average, which covers about the last 50 requests. */
  private static final double LEARNING_RATE = 0.02;

  private final Map<String, Double> meanSizes = new HashMap<>();

  /** Returns the value of a request and adds its size to the mean. */
  double value(String route, int promptTokens, int outputTokens) {
    double size = promptTokens + (double) OUTPUT_WEIGHT * outputTokens;
    if (size == 0) {
      return 1;
    }
    double mean = meanSizes.getOrDefault(route, size);
    meanSizes.put(route, mean + LEARNING_RATE * (size - mean));
    return Math.min(MAX_VALUE, BASE_VALUE + (1 - BASE_VALUE) * size / mean);
  }
}
