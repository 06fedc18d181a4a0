package io.samphiredyke.standins.weights;

import java.util.Map;

/**
 * What the weight store holds and how fast it is.
 *
 * @param bytesPerSecond the rate of all downloads together
 * @param defaultBytes the size of a model that isn't listed; 0 if there are no others
 * @param sizes the sizes in bytes, by {@code model@version}
 */
public record WeightSettings(long bytesPerSecond, long defaultBytes, Map<String, Long> sizes) {

  /**
   * Copies the sizes.
   *
   * @throws IllegalArgumentException if the rate isn't positive
   */
  public WeightSettings {
    if (bytesPerSecond < 1) {
      throw new IllegalArgumentException("bytesPerSecond must be positive");
    }
    sizes = Map.copyOf(sizes);
  }

  /** Returns the size of a model's weights in bytes, 0 if the store doesn't hold it. */
  public long bytesOf(String model, String version) {
    return sizes.getOrDefault(model + "@" + version, defaultBytes);
  }
}
