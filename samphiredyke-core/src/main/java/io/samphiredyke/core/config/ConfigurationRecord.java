package io.samphiredyke.core.config;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A record of the configuration stream: either changes that are applied atomically, or one chunk of
 * a snapshot.
 *
 * @param recordId unique id chosen by the publisher; a record that is appended twice is applied
 *     once
 * @param author who published the record
 * @param timeMillis when it was published, in milliseconds since 1970 by the publisher's clock
 * @param changes the changes, empty for a snapshot chunk
 * @param snapshot the chunk, null for changes
 */
public record ConfigurationRecord(
    String recordId,
    String author,
    long timeMillis,
    List<Change> changes,
    @Nullable SnapshotChunk snapshot) {

  /** Copies the changes. */
  public ConfigurationRecord {
    changes = List.copyOf(changes);
  }

  /**
   * Returns a record of changes that are applied atomically.
   *
   * @param recordId the unique id
   * @param author who publishes it
   * @param timeMillis the time in milliseconds since 1970
   * @param changes the changes
   */
  public static ConfigurationRecord ofChanges(
      String recordId, String author, long timeMillis, List<Change> changes) {
    return new ConfigurationRecord(recordId, author, timeMillis, changes, null);
  }

  /**
   * Returns a record that carries a chunk of a snapshot.
   *
   * @param recordId the unique id
   * @param author the host that took the snapshot
   * @param timeMillis the time in milliseconds since 1970
   * @param snapshot the chunk
   */
  public static ConfigurationRecord ofSnapshot(
      String recordId, String author, long timeMillis, SnapshotChunk snapshot) {
    return new ConfigurationRecord(recordId, author, timeMillis, List.of(), snapshot);
  }
}
