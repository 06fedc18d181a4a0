package io.samphiredyke.core.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates the number of tokens of prompts and outputs.
 *
 * <p>Prompt tokens are the bytes of the text divided by a ratio learned per service. Output tokens
 * are modelled per service and customer by the mean and variance of their logarithm, because
 * lengths differ by orders of magnitude. Memory is bounded: the least recently used pairs are
 * dropped.
 */
public final class LengthEstimator {

  private static final double DEFAULT_BYTES_PER_TOKEN = 4;
  private static final double DEFAULT_OUTPUT_TOKENS = 256;
  private static final double DEFAULT_LOG_VARIANCE = 1;
  private static final double SMOOTHING = 0.05;
  private static final double MINIMUM_DEVIATION = 0.05;

  /** Square of twice the hazard rate of a normal distribution at its mean: 8 / pi. */
  private static final double INVERSE_MILLS_AT_ZERO_SQUARED = 8 / Math.PI;

  private static final int PAIRS_MAXIMUM = 16_384;
  private static final float LOAD_FACTOR = 0.75f;

  private final Map<Key, OutputDistribution> outputs = boundedMap();
  private final Map<String, Double> bytesPerToken = boundedMap();

  /** Returns the estimated tokens of a prompt. */
  public int promptTokens(String service, int promptBytes) {
    double ratio = bytesPerToken.getOrDefault(service, DEFAULT_BYTES_PER_TOKEN);
    return (int) Math.ceil(promptBytes / ratio);
  }

  /**
   * Returns a quantile of the output tokens.
   *
   * @param deviations standard deviations above the median: 0 for the median, 1.28 for the 90th
   *     percentile
   * @param maximum limit set by the caller, 0 if none
   */
  public int outputTokens(String service, String customer, double deviations, int maximum) {
    OutputDistribution known = distributionOf(service, customer);
    double tokens = Math.exp(known.mean + deviations * Math.sqrt(known.variance));
    double bounded = maximum > 0 ? Math.min(maximum, tokens) : tokens;
    return (int) Math.max(1, Math.round(bounded));
  }

  /** Records the actual tokens of a prompt. */
  public void observePrompt(String service, int promptBytes, int tokens) {
    if (tokens <= 0 || promptBytes <= 0) {
      return;
    }
    double observed = (double) promptBytes / tokens;
    double known = bytesPerToken.getOrDefault(service, observed);
    bytesPerToken.put(service, known + SMOOTHING * (observed - known));
  }

  /** Records the actual tokens of a complete output. */
  public void observeOutput(String service, String customer, int tokens) {
    if (tokens <= 0) {
      return;
    }
    update(service, customer, Math.log(tokens));
    update(service, "", Math.log(tokens));
  }

  /**
   * Records a truncated output, a censored observation.
   *
   * <p>Ignoring truncated outputs would bias the estimates towards short ones, because long outputs
   * are truncated more often. The logarithm of the full length is taken as its expected value,
   * given that it exceeds what was received.
   */
  public void observeTruncatedOutput(String service, String customer, int tokens) {
    if (tokens <= 0) {
      return;
    }
    updateCensored(service, customer, Math.log(tokens));
    updateCensored(service, "", Math.log(tokens));
  }

  private void updateCensored(String service, String customer, double logarithm) {
    OutputDistribution known = distributionOf(service, customer);
    double deviation = Math.max(MINIMUM_DEVIATION, Math.sqrt(known.variance));
    double above = (logarithm - known.mean) / deviation;
    double expected = (above + Math.sqrt(above * above + INVERSE_MILLS_AT_ZERO_SQUARED)) / 2;
    update(service, customer, known.mean + deviation * expected);
  }

  /** Returns the distribution of the customer, else of the service, else the default. */
  private OutputDistribution distributionOf(String service, String customer) {
    OutputDistribution known = outputs.get(new Key(service, customer));
    if (known != null) {
      return known;
    }
    return outputs.getOrDefault(new Key(service, ""), OutputDistribution.UNKNOWN);
  }

  private void update(String service, String customer, double logarithm) {
    Key key = new Key(service, customer);
    OutputDistribution known = outputs.get(key);
    if (known == null) {
      known = new OutputDistribution(distributionOf(service, customer));
      outputs.put(key, known);
    }
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

  /** Estimated mean and variance of the logarithm of output lengths. */
  private static final class OutputDistribution {

    private static final int PRIOR_OBSERVATIONS = 2;
    private static final OutputDistribution UNKNOWN = new OutputDistribution();

    private double mean = Math.log(DEFAULT_OUTPUT_TOKENS);
    private double variance = DEFAULT_LOG_VARIANCE;
    private long observations = PRIOR_OBSERVATIONS;

    OutputDistribution() {}

    /**
     * Starts from a wider group's distribution, so that one output doesn't determine the estimate.
     */
    OutputDistribution(OutputDistribution prior) {
      mean = prior.mean;
      variance = prior.variance;
    }
  }
}
