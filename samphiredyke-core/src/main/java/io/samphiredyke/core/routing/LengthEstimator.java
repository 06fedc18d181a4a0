package io.samphiredyke.core.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates the tokens of prompts and answers.
 *
 * <p>Prompt tokens follow from the bytes of the text and a ratio learned per service. Output tokens
 * are learned per service and customer as mean and variance of the logarithm, because lengths
 * differ by orders of magnitude. Bounded: the least recently used pairs are forgotten.
 */
public final class LengthEstimator {

  private static final double DEFAULT_BYTES_PER_TOKEN = 4;
  private static final double DEFAULT_OUTPUT_TOKENS = 256;
  private static final double DEFAULT_LOG_VARIANCE = 1;
  private static final double SMOOTHING = 0.05;
  private static final int PAIRS_MAXIMUM = 16_384;
  private static final float LOAD_FACTOR = 0.75f;

  private final Map<Key, Output> outputs = boundedMap();
  private final Map<String, Double> bytesPerToken = boundedMap();

  /** Returns the estimated tokens of a prompt. */
  public int promptTokens(String service, int promptBytes) {
    double ratio = bytesPerToken.getOrDefault(service, DEFAULT_BYTES_PER_TOKEN);
    return (int) Math.ceil(promptBytes / ratio);
  }

  /**
   * Returns the output tokens that the answer stays under with a certain probability.
   *
   * @param deviations standard deviations above the median: 0 for half, 1.28 for nine in ten
   * @param maximum bound given by the caller, 0 if none
   */
  public int outputTokens(String service, String customer, double deviations, int maximum) {
    Output known = outputs.get(new Key(service, customer));
    if (known == null) {
      known = outputs.getOrDefault(new Key(service, ""), Output.unknown());
    }
    double tokens = Math.exp(known.mean + deviations * Math.sqrt(known.variance));
    double bounded = maximum > 0 ? Math.min(maximum, tokens) : tokens;
    return (int) Math.max(1, Math.round(bounded));
  }

  /** Learns from the real tokens of a prompt. */
  public void observePrompt(String service, int promptBytes, int tokens) {
    if (tokens <= 0 || promptBytes <= 0) {
      return;
    }
    double observed = (double) promptBytes / tokens;
    double known = bytesPerToken.getOrDefault(service, observed);
    bytesPerToken.put(service, known + SMOOTHING * (observed - known));
  }

  /** Learns from the real tokens of an answer. */
  public void observeOutput(String service, String customer, int tokens) {
    if (tokens <= 0) {
      return;
    }
    learn(new Key(service, customer), Math.log(tokens));
    learn(new Key(service, ""), Math.log(tokens));
  }

  private void learn(Key key, double logarithm) {
    Output known = outputs.computeIfAbsent(key, unused -> new Output());
    known.observations++;
    double gain = Math.max(SMOOTHING, 1.0 / known.observations);
    double difference = logarithm - known.mean;
    known.mean += gain * difference;
    known.variance = (1 - gain) * (known.variance + gain * difference * difference);
  }

  private static <K, V> Map<K, V> boundedMap() {
    return new LinkedHashMap<>(16, LOAD_FACTOR, /* accessOrder= */ true) {
      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > PAIRS_MAXIMUM;
      }
    };
  }

  private record Key(String service, String customer) {}

  private static final class Output {
    private double mean;
    private double variance;
    private long observations;

    static Output unknown() {
      Output output = new Output();
      output.mean = Math.log(DEFAULT_OUTPUT_TOKENS);
      output.variance = DEFAULT_LOG_VARIANCE;
      return output;
    }
  }
}
