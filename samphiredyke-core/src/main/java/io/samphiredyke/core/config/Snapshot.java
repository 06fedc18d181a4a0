package io.samphiredyke.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The complete state at an offset of the log, from which the log can be replayed further.
 *
 * @param nextOffset the offset of the first record that is not included
 * @param items all items in key order
 * @param outcomes the outcomes of recent records, oldest first
 */
public record Snapshot(long nextOffset, List<VersionedItem> items, List<RecordOutcome> outcomes) {

  /** Copies the lists. */
  public Snapshot {
    items = List.copyOf(items);
    outcomes = List.copyOf(outcomes);
  }

  /** Returns the digest of the items, equal to that of the restored {@link Configuration}. */
  public String digest() {
    return new Configuration(nextOffset, itemsByKey()).digest();
  }

  SortedMap<ItemKey, VersionedItem> itemsByKey() {
    SortedMap<ItemKey, VersionedItem> byKey = new TreeMap<>();
    items.forEach(versioned -> byKey.put(versioned.item().key(), versioned));
    return byKey;
  }

  /**
   * Splits this snapshot into chunks.
   *
   * @param snapshotId the id that all chunks share, unique for each attempt to append them
   * @param maxEntries the largest number of items and outcomes together in a chunk
   */
  public List<SnapshotChunk> chunks(String snapshotId, int maxEntries) {
    int total = items.size() + outcomes.size();
    int count = Math.max(1, (total + maxEntries - 1) / maxEntries);
    String digest = digest();
    List<SnapshotChunk> chunks = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      int from = index * maxEntries;
      int to = Math.min(total, from + maxEntries);
      chunks.add(
          new SnapshotChunk(
              snapshotId,
              nextOffset,
              index,
              count,
              digest,
              slice(items, from, to),
              slice(outcomes, from - items.size(), to - items.size())));
    }
    return chunks;
  }

  private static <T> List<T> slice(List<T> all, int from, int to) {
    int low = Math.max(0, Math.min(from, all.size()));
    int high = Math.max(low, Math.min(to, all.size()));
    return all.subList(low, high);
  }
}
