package io.samphiredyke.core.config;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What a peer knows from an offset on: the entries, or the whole state if it no longer has them.
 *
 * @param nextOffset the offset of the first record that the peer has not applied
 * @param entries the entries from the offset asked for; empty if there are none or if a snapshot is
 *     given
 * @param snapshot the state of the peer, null if the entries do
 * @param snapshotTimeMillis when the log took the newest complete snapshot that the peer knows of,
 *     in milliseconds since 1970; 0 if it knows of none
 */
public record PeerAnswer(
    long nextOffset, List<LogEntry> entries, @Nullable Snapshot snapshot, long snapshotTimeMillis) {

  /** Copies the entries. */
  public PeerAnswer {
    entries = List.copyOf(entries);
  }
}
