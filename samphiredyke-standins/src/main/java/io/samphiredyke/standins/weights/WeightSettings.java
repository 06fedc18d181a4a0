package io.samphiredyke.standins.weights;

import java.util.Map;

/**
 * Contents and download rate of the weight store.
 *
 * @param bytesPerSecond the total rate of all downloads
 * @param defaultBytes the size of a model that isn't in {@code sizes}; 0 if the store holds no
 *     other models
 * @param sizes the sizes in bytes, by {@code model@version}
 */
public record WeightSettings(long bytesPerSecond, long defaultBytes, Map<String, Long> sizes) {

  /**
   * Validates the rate and copies the sizes.
   *
   * @throws IllegalArgumentException if the rate isn't positive
   */
  public WeightSettings {
    if (bytesPerSecond < 1) {
      throw new IllegalArgumentException("bytesPerSecond must be positive");
    }
    sizes = Map.copyOf(sizes);
  }

  /** Returns the size of a model's weights in bytes, 0 if the store doesn't have them. */
  public long bytesOf(String model, String version) {
    return sizes.getOrDefault(model + "@" + version, defaultBytes);
  }
}
