package io.samphiredyke.core.config;

/**
 * Polling, backoff and snapshot options of a {@link LogFollower}.
 *
 * @param pollRecords the largest number of records in a page
 * @param pollWaitMillis how long the log may wait for records before it returns an empty page (long
 *     polling), in milliseconds
 * @param pollGraceMillis the time allowed for a response beyond that, in milliseconds
 * @param minBackoffMillis the shortest backoff after a failure, in milliseconds
 * @param maxBackoffMillis the longest backoff after failures, in milliseconds
 * @param snapshotRecords the number of records with changes after which a snapshot is due
 * @param snapshotIntervalMillis the time after which a snapshot is due, in milliseconds; must be
 *     well below the retention time of the log
 * @param snapshotSpreadMillis the longest random delay before a node appends a snapshot that is
 *     due, in milliseconds
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

  /** Builds {@link LogFollowerOptions}. */
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

    /** Sets how long the log may wait before it returns an empty page, in milliseconds. */
    public Builder pollWaitMillis(long pollWaitMillis) {
      this.pollWaitMillis = pollWaitMillis;
      return this;
    }

    /** Sets the time allowed for a response beyond the poll wait, in milliseconds. */
    public Builder pollGraceMillis(long pollGraceMillis) {
      this.pollGraceMillis = pollGraceMillis;
      return this;
    }

    /** Sets the shortest backoff after a failure, in milliseconds. */
    public Builder minBackoffMillis(long minBackoffMillis) {
      this.minBackoffMillis = minBackoffMillis;
      return this;
    }

    /** Sets the longest backoff after failures, in milliseconds. */
    public Builder maxBackoffMillis(long maxBackoffMillis) {
      this.maxBackoffMillis = maxBackoffMillis;
      return this;
    }

    /** Sets the number of records with changes after which a snapshot is due. */
    public Builder snapshotRecords(int snapshotRecords) {
      this.snapshotRecords = snapshotRecords;
      return this;
    }

    /** Sets the time after which a snapshot is due, in milliseconds. */
    public Builder snapshotIntervalMillis(long snapshotIntervalMillis) {
      this.snapshotIntervalMillis = snapshotIntervalMillis;
      return this;
    }

    /** Sets the longest random delay before a snapshot that is due, in milliseconds. */
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
