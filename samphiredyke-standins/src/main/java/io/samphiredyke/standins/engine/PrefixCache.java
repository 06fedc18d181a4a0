package io.samphiredyke.standins.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** An LRU cache of prompt blocks that are chained by their parents. */
final class PrefixCache {

  private static final long NO_PARENT = 0;
  private static final int MAX_EVENTS = 10_000;

  private final int capacity;
  private final Map<Long, Long> parents = new LinkedHashMap<>(16, 0.75f, true);
  private final ArrayDeque<CacheEvent> events = new ArrayDeque<>();
  private long sequence;

  PrefixCache(int capacity) {
    this.capacity = capacity;
  }

  /** Returns the number of leading blocks that are cached, and marks these as used. */
  int match(List<Long> blocks) {
    int matched = 0;
    while (matched < blocks.size() && parents.containsKey(blocks.get(matched))) {
      matched++;
    }
    markUsed(blocks, matched);
    return matched;
  }

  /** Stores as many leading blocks as fit into the capacity. */
  void store(List<Long> blocks, long now) {
    int fitting = Math.min(blocks.size(), capacity);
    for (int i = 0; i < fitting; i++) {
      long parent = i == 0 ? NO_PARENT : blocks.get(i - 1);
      if (parents.put(blocks.get(i), parent) == null) {
        record(now, CacheEvent.Kind.STORED, blocks.get(i), parent);
      }
    }
    markUsed(blocks, fitting);
    evictExcess(now);
  }

  /** Returns the chain that ends at a block, in order; empty if a part of it is missing. */
  List<Long> chain(long last) {
    ArrayDeque<Long> chain = new ArrayDeque<>();
    long block = last;
    while (block != NO_PARENT) {
      Long parent = parents.get(block);
      if (parent == null) {
        return List.of();
      }
      chain.addFirst(block);
      block = parent;
    }
    return new ArrayList<>(chain);
  }

  void clear(long now) {
    parents.forEach((block, parent) -> record(now, CacheEvent.Kind.EVICTED, block, parent));
    parents.clear();
  }

  int size() {
    return parents.size();
  }

  /** Returns the retained events after a sequence number, up to a time. */
  List<CacheEvent> eventsAfter(long after, long until) {
    return events.stream()
        .filter(event -> event.sequence() > after && event.time() <= until)
        .toList();
  }

  /** Accesses the blocks from last to first, so that a chain is evicted starting at its end. */
  private void markUsed(List<Long> blocks, int count) {
    for (int i = count - 1; i >= 0; i--) {
      parents.get(blocks.get(i));
    }
  }

  private void evictExcess(long now) {
    Iterator<Map.Entry<Long, Long>> oldest = parents.entrySet().iterator();
    for (int excess = parents.size() - capacity; excess > 0; excess--) {
      Map.Entry<Long, Long> entry = oldest.next();
      record(now, CacheEvent.Kind.EVICTED, entry.getKey(), entry.getValue());
      oldest.remove();
    }
  }

  private void record(long now, CacheEvent.Kind kind, long block, long parent) {
    sequence++;
    events.addLast(new CacheEvent(sequence, now, kind, block, parent));
    if (events.size() > MAX_EVENTS) {
      events.removeFirst();
    }
  }
}
