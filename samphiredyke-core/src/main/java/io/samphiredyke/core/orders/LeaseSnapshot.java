package io.samphiredyke.core.orders;

import io.samphiredyke.core.orders.LeaseRecord.LoadEnd;
import java.util.List;

/**
 * Snapshot of all leases before an offset, for hosts that start after the first records of the log
 * have been removed.
 *
 * <p>A host that knows the state ignores a snapshot, unless it is a reset: then all hosts discard
 * all leases and wait until they have expired. A reset is appended only if no state can be
 * recovered.
 *
 * @param isReset whether the snapshot replaces the state on all hosts by one without leases
 * @param nextOffset offset of the first record that the snapshot does not cover; unused for a reset
 * @param sessions the sessions that hold leases
 * @param loads the queue of load requests
 */
public record LeaseSnapshot(
    boolean isReset, long nextOffset, List<SessionState> sessions, List<LoadEnd> loads) {

  /** Copies the lists. */
  public LeaseSnapshot {
    sessions = List.copyOf(sessions);
    loads = List.copyOf(loads);
  }

  /**
   * State of a session.
   *
   * @param session the session
   * @param lastOffset offset of the session's last record
   * @param holds leases of the session
   */
  public record SessionState(String session, long lastOffset, List<LeaseRecord.HeldLease> holds) {

    /** Copies the leases. */
    public SessionState {
      holds = List.copyOf(holds);
    }
  }

  /** Returns a snapshot that discards all leases. */
  public static LeaseSnapshot reset() {
    return new LeaseSnapshot(true, 0, List.of(), List.of());
  }
}
