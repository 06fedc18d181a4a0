package io.samphiredyke.standins.plain;

import java.time.Duration;

/**
 * What a plain service stand-in is.
 *
 * @param name its name
 * @param dataCentre where it stands
 * @param latency how long a call takes
 * @param concurrency the most calls that run at once; others wait in order of arrival
 */
public record PlainSettings(String name, String dataCentre, Duration latency, int concurrency) {

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
  public PlainSettings {
    if (concurrency < 1 || latency.isNegative()) {
      throw new IllegalArgumentException("concurrency must be positive, latency not negative");
    }
  }
}
