package io.samphiredyke.standins.engine;

/**
 * A change to the prefix cache.
 *
 * @param sequence the sequence number, from 1; a missing number means a lost event
 * @param time the time of the change, nanoseconds of the engine's monotonic clock
 * @param kind the kind of change
 * @param block the block's hash
 * @param parent the hash of the preceding block, 0 for a first block
 */
public record CacheEvent(long sequence, long time, Kind kind, long block, long parent) {

  /** The kinds of changes. */
  public enum Kind {
    /** The block was added. */
    STORED,
    /** The block was evicted because the cache was full or cleared. */
    EVICTED
  }
}
