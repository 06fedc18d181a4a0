package io.samphiredyke.daemon.orders;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.samphiredyke.core.orders.LeaseEntry;
import io.samphiredyke.core.orders.LeaseRecord;
import io.samphiredyke.core.orders.LeaseRecord.HeldLease;
import io.samphiredyke.core.orders.LeaseRecord.LoadEnd;
import io.samphiredyke.core.orders.LeaseRecord.SessionEnd;
import io.samphiredyke.core.orders.LeaseSnapshot;
import io.samphiredyke.core.orders.LeaseSnapshot.SessionState;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The JSON representation of a record of the orders stream. Empty lists are omitted.
 *
 * @param lease a change or renewal of leases, or null
 * @param snapshot a snapshot of all leases, or null
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
record OrderMessage(@Nullable Lease lease, @Nullable Snapshot snapshot) {

  /** The JSON representation of {@link LeaseRecord}. */
  @JsonInclude(JsonInclude.Include.NON_EMPTY)
  record Lease(
      String session,
      long sequence,
      boolean continuation,
      @Nullable List<SessionEnd> ends,
      @Nullable List<HeldLease> releases,
      @Nullable List<String> takes,
      @Nullable List<LoadEnd> loadEnds,
      @Nullable List<String> loadRequests) {}

  /** The JSON representation of {@link LeaseSnapshot}. */
  @JsonInclude(JsonInclude.Include.NON_EMPTY)
  record Snapshot(
      boolean reset,
      long nextOffset,
      @Nullable List<SessionState> sessions,
      @Nullable List<LoadEnd> loads) {}

  static OrderMessage of(LeaseRecord record) {
    Lease lease =
        new Lease(
            record.session(),
            record.sequence(),
            record.isContinuation(),
            record.ends(),
            record.releases(),
            record.takes(),
            record.loadEnds(),
            record.loadRequests());
    return new OrderMessage(lease, null);
  }

  static OrderMessage of(LeaseSnapshot snapshot) {
    return new OrderMessage(
        null,
        new Snapshot(
            snapshot.isReset(), snapshot.nextOffset(), snapshot.sessions(), snapshot.loads()));
  }

  LeaseEntry toEntry(long offset) {
    return new LeaseEntry(
        offset,
        lease == null ? null : toRecord(lease),
        snapshot == null ? null : toSnapshot(snapshot));
  }

  private static LeaseRecord toRecord(Lease lease) {
    return LeaseRecord.builder()
        .session(lease.session())
        .sequence(lease.sequence())
        .isContinuation(lease.continuation())
        .ends(orEmpty(lease.ends()))
        .releases(orEmpty(lease.releases()))
        .takes(orEmpty(lease.takes()))
        .loadEnds(orEmpty(lease.loadEnds()))
        .loadRequests(orEmpty(lease.loadRequests()))
        .build();
  }

  private static LeaseSnapshot toSnapshot(Snapshot snapshot) {
    return new LeaseSnapshot(
        snapshot.reset(),
        snapshot.nextOffset(),
        orEmpty(snapshot.sessions()),
        orEmpty(snapshot.loads()));
  }

  private static <T> List<T> orEmpty(@Nullable List<T> list) {
    return list == null ? List.of() : list;
  }
}
