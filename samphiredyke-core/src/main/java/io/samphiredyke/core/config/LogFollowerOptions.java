package io.samphiredyke.core.config;

/**
 * How a node follows the configuration stream.
 *
 * @param pollRecords the largest number of records in a page
 * @param pollWaitMillis how long the log may hold back an empty page, in milliseconds
 * @param pollGraceMillis how long after that an answer may take, in milliseconds
 * @param minBackoffMillis the shortest pause after a failure, in milliseconds
 * @param maxBackoffMillis the longest pause after failures, in milliseconds
 * @param snapshotRecords after how many records with changes a snapshot is due
 * @param snapshotIntervalMillis after which time a snapshot is due, in milliseconds; well below the
 *     retention of the log
 * @param snapshotSpreadMillis over which time nodes spread their attempts to append a snapshot that
 *     is due, in milliseconds
 * @param snapshotChunkEntries the largest number of entries in a chunk of a snapshot
 */
public record LogFollowerOptions(
    int pollRecords,
    long pollWaitMillis,
    long pollGraceMillis,
    long minBackoffMillis,
    long maxBackoffMillis,
    int snapshotRecords,
    long snapshotIntervalMillis,
    long snapshotSpreadMillis,
    int snapshotChunkEntries) {

  /** Returns a builder with default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the options. */
  public static final class Builder {
    private int pollRecords = 500;
    private long pollWaitMillis = 5_000;
    private long pollGraceMillis = 2_000;
    private long minBackoffMillis = 200;
    private long maxBackoffMillis = 5_000;
    private int snapshotRecords = 200;
    private long snapshotIntervalMillis = 3_600_000;
    private long snapshotSpreadMillis = 60_000;
    private int snapshotChunkEntries = 200;

    private Builder() {}

    /** Sets the largest number of records in a page. */
    public Builder pollRecords(int pollRecords) {
      this.pollRecords = pollRecords;
      return this;
    }

    /** Sets how long the log may hold back an empty page, in milliseconds. */
    public Builder pollWaitMillis(long pollWaitMillis) {
      this.pollWaitMillis = pollWaitMillis;
      return this;
    }

    /** Sets how long after that an answer may take, in milliseconds. */
    public Builder pollGraceMillis(long pollGraceMillis) {
      this.pollGraceMillis = pollGraceMillis;
      return this;
    }

    /** Sets the shortest pause after a failure, in milliseconds. */
    public Builder minBackoffMillis(long minBackoffMillis) {
      this.minBackoffMillis = minBackoffMillis;
      return this;
    }

    /** Sets the longest pause after failures, in milliseconds. */
    public Builder maxBackoffMillis(long maxBackoffMillis) {
      this.maxBackoffMillis = maxBackoffMillis;
      return this;
    }

    /** Sets after how many records with changes a snapshot is due. */
    public Builder snapshotRecords(int snapshotRecords) {
      this.snapshotRecords = snapshotRecords;
      return this;
    }

    /** Sets after which time a snapshot is due, in milliseconds. */
    public Builder snapshotIntervalMillis(long snapshotIntervalMillis) {
      this.snapshotIntervalMillis = snapshotIntervalMillis;
      return this;
    }

    /** Sets over which time nodes spread their attempts, in milliseconds. */
    public Builder snapshotSpreadMillis(long snapshotSpreadMillis) {
      this.snapshotSpreadMillis = snapshotSpreadMillis;
      return this;
    }

    /** Sets the largest number of entries in a chunk. */
    public Builder snapshotChunkEntries(int snapshotChunkEntries) {
      this.snapshotChunkEntries = snapshotChunkEntries;
      return this;
    }

    /** Returns the options. */
    public LogFollowerOptions build() {
      return new LogFollowerOptions(
          pollRecords,
          pollWaitMillis,
          pollGraceMillis,
          minBackoffMillis,
          maxBackoffMillis,
          snapshotRecords,
          snapshotIntervalMillis,
          snapshotSpreadMillis,
          snapshotChunkEntries);
    }
  }
}
