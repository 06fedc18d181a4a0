package io.samphiredyke.core.orders;

import io.samphiredyke.core.orders.LeaseRecord.LoadEnd;
import java.util.List;

/**
 * The state of all leases before an offset, for hosts that start after the first records are gone.
 *
 * <p>A host that knows the state ignores it, unless it is a reset: then all hosts drop all leases
 * and wait as for lapsed ones. A reset is appended only where no state can be found.
 *
 * @param isReset whether it replaces the state everywhere, with no leases
 * @param nextOffset the offset of the first record that the state doesn't cover; for a reset
 *     without meaning
 * @param sessions the sessions that hold leases
 * @param loads the queue of loads
 */
public record LeaseSnapshot(
    boolean isReset, long nextOffset, List<SessionState> sessions, List<LoadEnd> loads) {

  /** Copies the lists. */
  public LeaseSnapshot {
    sessions = List.copyOf(sessions);
    loads = List.copyOf(loads);
  }

  /**
   * A session.
   *
   * @param session the session
   * @param lastOffset the offset of its last record
   * @param holds its leases
   */
  public record SessionState(String session, long lastOffset, List<LeaseRecord.HeldLease> holds) {

    /** Copies the leases. */
    public SessionState {
      holds = List.copyOf(holds);
    }
  }

  /** Returns a snapshot that drops all leases. */
  public static LeaseSnapshot reset() {
    return new LeaseSnapshot(true, 0, List.of(), List.of());
  }
}
