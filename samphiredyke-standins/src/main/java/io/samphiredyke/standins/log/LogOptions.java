package io.samphiredyke.standins.log;

import java.time.Duration;

/**
 * Retention and rate limits of the log.
 *
 * @param retentionRecords the maximum number of records retained per stream
 * @param retentionTime the time for which a record is retained
 * @param appendsPerSecond the maximum rate of appends to all streams together
 */
public record LogOptions(int retentionRecords, Duration retentionTime, double appendsPerSecond) {

  /** Limits of the log at a small site. */
  public static final LogOptions DEFAULTS = new LogOptions(100_000, Duration.ofHours(24), 300);

  /**
   * Validates the ranges.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
  public LogOptions {
    if (retentionRecords < 1 || retentionTime.isNegative() || !(appendsPerSecond > 0)) {
      throw new IllegalArgumentException(
          "retentionRecords and appendsPerSecond must be positive, retentionTime not negative");
    }
  }
}
