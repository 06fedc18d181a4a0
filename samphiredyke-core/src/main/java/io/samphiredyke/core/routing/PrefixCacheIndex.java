package io.samphiredyke.core.routing;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Index of the prompt blocks that are probably in the prefix cache of each endpoint.
 *
 * <p>Updated from the dispatches of this entry host, and corrected by the cache hits that an
 * endpoint reports per request and by its cache events. Bounded per endpoint; the least recently
 * used blocks are evicted first, as in the engines.
 */
public final class PrefixCacheIndex {

  private static final long UNKNOWN_SEQUENCE = -1;

  private final int blocksPerEndpoint;
  private final Map<String, EndpointBlocks> endpoints = new HashMap<>();

  /**
   * Creates an empty index.
   *
   * @param blocksPerEndpoint largest number of blocks indexed for each endpoint
   */
  public PrefixCacheIndex(int blocksPerEndpoint) {
    this.blocksPerEndpoint = blocksPerEndpoint;
  }

  /** Returns how many leading blocks of the prompt are probably cached at the endpoint. */
  public int cachedBlocks(String endpoint, PromptFingerprint prompt) {
    EndpointBlocks known = endpoints.get(endpoint);
    if (known == null) {
      return 0;
    }
    for (int block = 0; block < prompt.blocks(); block++) {
      if (!known.blocks.containsKey(prompt.hash(block))) {
        return block;
      }
    }
    return prompt.blocks();
  }

  /** Records a prompt that was dispatched to the endpoint, which will cache its blocks. */
  public void dispatched(String endpoint, PromptFingerprint prompt) {
    EndpointBlocks known = blocksOf(endpoint);
    // The first blocks are used last, because a prefix without them is not cached.
    for (int block = prompt.blocks() - 1; block >= 0; block--) {
      known.blocks.put(prompt.hash(block), Boolean.TRUE);
    }
    known.trim();
  }

  /**
   * Corrects the index by the cache hits that the endpoint reported for a prompt.
   *
   * @param cachedBlocks leading blocks that were cached when the prompt arrived
   * @param expectedBlocks leading blocks that were expected to be cached
   */
  public void reported(
      String endpoint, PromptFingerprint prompt, int cachedBlocks, int expectedBlocks) {
    if (cachedBlocks >= expectedBlocks) {
      return;
    }
    blocksOf(endpoint).dropOldest(expectedBlocks - cachedBlocks);
  }

  /** Applies a cache event; an event that was already applied has no effect. */
  public void event(String endpoint, CacheEvent event) {
    EndpointBlocks known = blocksOf(endpoint);
    if (event.sequence() <= known.lastSequence) {
      return;
    }
    if (known.lastSequence != UNKNOWN_SEQUENCE) {
      known.dropOldest(event.sequence() - known.lastSequence - 1);
    }
    known.lastSequence = event.sequence();
    if (event.kind() == CacheEvent.Kind.REMOVED) {
      known.blocks.remove(event.blockHash());
      return;
    }
    known.blocks.put(event.blockHash(), Boolean.TRUE);
    known.trim();
  }

  /** Applies cache events in order. */
  public void events(String endpoint, List<CacheEvent> events) {
    for (CacheEvent event : events) {
      event(endpoint, event);
    }
  }

  /** Removes an endpoint that restarted or was removed. */
  public void remove(String endpoint) {
    endpoints.remove(endpoint);
  }

  /** Returns the number of blocks indexed for an endpoint. */
  public int size(String endpoint) {
    EndpointBlocks known = endpoints.get(endpoint);
    return known == null ? 0 : known.blocks.size();
  }

  private EndpointBlocks blocksOf(String endpoint) {
    return endpoints.computeIfAbsent(endpoint, name -> new EndpointBlocks(blocksPerEndpoint));
  }

  /** Blocks of one endpoint, least recently used first. */
  private static final class EndpointBlocks {

    private static final float LOAD_FACTOR = 0.75f;

    private final int capacity;
    private final LinkedHashMap<Long, Boolean> blocks =
        new LinkedHashMap<>(16, LOAD_FACTOR, /* accessOrder= */ true);
    private long lastSequence = UNKNOWN_SEQUENCE;

    EndpointBlocks(int capacity) {
      this.capacity = capacity;
    }

    void trim() {
      dropOldest(Math.max(0, blocks.size() - capacity));
    }

    /** Drops the least recently used blocks, which an engine evicts first. */
    void dropOldest(long count) {
      Iterator<Long> oldest = blocks.keySet().iterator();
      for (long dropped = 0; dropped < count && oldest.hasNext(); dropped++) {
        oldest.next();
        oldest.remove();
      }
    }
  }
}
