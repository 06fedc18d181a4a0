package io.samphiredyke.core.config;

import java.util.List;

/**
 * A part of a {@link Snapshot}, small enough for one record of the log.
 *
 * @param snapshotId the id that all chunks of a snapshot share
 * @param nextOffset the offset of the first record that is not in the snapshot
 * @param index the position of the chunk, from 0
 * @param count the number of chunks of the snapshot
 * @param digest the digest of the whole snapshot, see {@link Snapshot#digest()}
 * @param items the items of this chunk
 * @param outcomes the outcomes of recent records in this chunk
 */
public record SnapshotChunk(
    String snapshotId,
    long nextOffset,
    int index,
    int count,
    String digest,
    List<VersionedItem> items,
    List<RecordOutcome> outcomes) {

  /** Copies the lists. */
  public SnapshotChunk {
    items = List.copyOf(items);
    outcomes = List.copyOf(outcomes);
  }
}
