package io.samphiredyke.standins.log;

import java.time.Duration;

/**
 * What the log keeps and takes.
 *
 * @param retentionRecords the most records kept in each stream
 * @param retentionTime how long a record is kept
 * @param appendsPerSecond the most appends per second, of all streams together
 */
public record LogOptions(int retentionRecords, Duration retentionTime, double appendsPerSecond) {

  /** The log of a small site. */
  public static final LogOptions DEFAULTS = new LogOptions(100_000, Duration.ofHours(24), 300);

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a limit isn't positive
   */
  public LogOptions {
    if (retentionRecords < 1 || retentionTime.isNegative() || !(appendsPerSecond > 0)) {
      throw new IllegalArgumentException(
          "retentionRecords, retentionTime and appendsPerSecond must be positive");
    }
  }
}
