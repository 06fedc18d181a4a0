package io.samphiredyke.core.routing;

/**
 * A change of an endpoint's prefix cache as the endpoint published it, late and perhaps with gaps.
 *
 * @param sequence number of the event, consecutive unless events were lost
 * @param kind what happened
 * @param blockHash hash of the prefix that ends with the block
 */
public record CacheEvent(long sequence, Kind kind, long blockHash) {

  /** What happened to a block. */
  public enum Kind {
    /** The block is in the cache. */
    STORED,
    /** The block left the cache. */
    REMOVED
  }
}
