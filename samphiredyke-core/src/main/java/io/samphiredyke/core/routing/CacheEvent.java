package io.samphiredyke.core.routing;

/**
 * Change of an endpoint's prefix cache, as published by the endpoint. Events are delayed and may be
 * lost.
 *
 * @param sequence number of the event, consecutive unless events were lost
 * @param kind what happened to the block
 * @param blockHash hash of the prefix that ends with the block
 */
public record CacheEvent(long sequence, Kind kind, long blockHash) {

  /** What happened to a block. */
  public enum Kind {
    /** The block was stored in the cache. */
    STORED,
    /** The block was evicted from the cache. */
    REMOVED
  }
}
