package io.samphiredyke.standins.plain;

import java.time.Duration;

/**
 * Settings of a plain service stand-in.
 *
 * @param name the name of the instance
 * @param dataCentre the data centre of the instance
 * @param latency the duration of a call
 * @param concurrency the maximum number of concurrent calls; further calls wait in FIFO order
 */
public record PlainSettings(String name, String dataCentre, Duration latency, int concurrency) {

  /**
   * Validates the ranges.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
  public PlainSettings {
    if (concurrency < 1 || latency.isNegative()) {
      throw new IllegalArgumentException("concurrency must be positive, latency not negative");
    }
  }
}
