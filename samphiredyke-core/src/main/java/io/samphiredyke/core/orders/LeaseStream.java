package io.samphiredyke.core.orders;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Replica of the lease state, built from the orders stream, with the local times at which the last
 * record of each session was read.
 *
 * <p>If the first records of the log have been removed, records are buffered until a snapshot that
 * covers the removed ones is read. Not thread-safe.
 */
final class LeaseStream {

  private static final long NEVER = Long.MIN_VALUE;

  private LeaseTable table = new LeaseTable();
  private boolean isStateKnown = true;
  private long firstOffset;
  private long nextOffset;
  private long snapshotReadAt;
  private long resetReadAt = NEVER;
  private final Map<String, Long> readAt = new HashMap<>();
  private final List<LeaseEntry> buffered = new ArrayList<>();

  LeaseStream(long now) {
    snapshotReadAt = now;
  }

  LeaseTable table() {
    return table;
  }

  long nextOffset() {
    return nextOffset;
  }

  /** Returns whether the table reflects the log up to {@link #nextOffset()}. */
  boolean isStateKnown() {
    return isStateKnown;
  }

  /** Returns the time since the last snapshot was read, or since reading started. */
  long sinceSnapshot(long now) {
    return now - snapshotReadAt;
  }

  /** Records that a snapshot was sent, which restarts the snapshot interval. */
  void snapshotSent(long now) {
    snapshotReadAt = now;
  }

  /** Returns whether all leases from before the last reset have expired. */
  boolean isPastReset(long now, long wait) {
    return resetReadAt == NEVER || now - resetReadAt >= wait;
  }

  /** Returns whether the given time has passed since a session's last record was read. */
  boolean isExpired(String session, long now, long wait) {
    return now - readAt.getOrDefault(session, now) >= wait;
  }

  /** Restarts at the first offset that the log still contains. */
  void restartAt(long first, long now) {
    table = new LeaseTable();
    readAt.clear();
    buffered.clear();
    isStateKnown = first == 0;
    firstOffset = first;
    nextOffset = first;
    snapshotReadAt = now;
  }

  void read(LeaseEntry entry, long now) {
    if (entry.offset() < nextOffset) {
      return;
    }
    if (entry.offset() > nextOffset) {
      restartAt(entry.offset(), now);
    }
    nextOffset = entry.offset() + 1;
    LeaseSnapshot snapshot = entry.snapshot();
    if (snapshot != null) {
      readSnapshot(snapshot, now);
    } else if (isStateKnown) {
      apply(entry, now);
    } else {
      buffered.add(entry);
    }
  }

  private void readSnapshot(LeaseSnapshot snapshot, long now) {
    snapshotReadAt = now;
    if (snapshot.isReset()) {
      table = new LeaseTable();
      buffered.clear();
      resetReadAt = now;
      isStateKnown = true;
      return;
    }
    boolean coversRemovedRecords = snapshot.nextOffset() >= firstOffset;
    if (isStateKnown || !coversRemovedRecords) {
      return;
    }
    table = new LeaseTable(snapshot);
    table.sessions().forEach(session -> readAt.put(session, now));
    isStateKnown = true;
    for (LeaseEntry entry : buffered) {
      if (entry.offset() >= snapshot.nextOffset()) {
        apply(entry, now);
      }
    }
    buffered.clear();
  }

  private void apply(LeaseEntry entry, long now) {
    LeaseRecord record = entry.lease();
    if (record == null) {
      return;
    }
    table.apply(entry.offset(), record);
    readAt.put(record.session(), now);
    readAt.keySet().retainAll(table.sessions());
  }
}
