package io.samphiredyke.standins.engine;

/**
 * A change of the prefix cache.
 *
 * @param sequence the event's number, from 1; a missing number is a gap
 * @param time when it happened, nanoseconds of the engine's monotonic clock
 * @param kind what happened
 * @param block the block's hash
 * @param parent the hash of the block before it, 0 for a first block
 */
public record CacheEvent(long sequence, long time, Kind kind, long block, long parent) {

  /** What happened to a block. */
  public enum Kind {
    /** The block was added. */
    STORED,
    /** The block was removed to make room. */
    EVICTED
  }
}
