package io.samphiredyke.core.config;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Response of a peer: the entries from an offset on, or a snapshot if it no longer has them.
 *
 * @param nextOffset the offset of the first record that the peer has not applied
 * @param entries the entries from the requested offset on; empty if there are none or if a snapshot
 *     is given
 * @param snapshot the state of the peer, null if the entries suffice
 * @param snapshotTimeMillis when the newest complete snapshot known to the peer was appended to the
 *     log, in milliseconds since 1970; 0 if it knows none
 */
public record PeerResponse(
    long nextOffset, List<LogEntry> entries, @Nullable Snapshot snapshot, long snapshotTimeMillis) {

  /** Copies the entries. */
  public PeerResponse {
    entries = List.copyOf(entries);
  }
}
