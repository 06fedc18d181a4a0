package io.samphiredyke.core.orders;

import io.samphiredyke.core.orders.LeaseRecord.HeldLease;
import io.samphiredyke.core.orders.LeaseRecord.LoadEnd;
import io.samphiredyke.core.orders.LeaseRecord.SessionEnd;
import io.samphiredyke.core.orders.LeaseSnapshot.SessionState;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Table of the leases of all endpoints, a deterministic function of the records in log order.
 *
 * <p>No clock is involved: a session is ended by a record that contains the session's last offset,
 * and a renewal that precedes it in the log invalidates it. All hosts therefore interpret each
 * record identically, regardless of when they read it. A load outlives the lease under which it was
 * requested, because the engine continues it; the next holder of the lease ends it. Not
 * thread-safe.
 */
public final class LeaseTable {

  /**
   * Lease in effect.
   *
   * @param session session that holds the lease
   * @param fence fencing token: the offset of the record that took the lease
   */
  public record Lease(String session, long fence) {}

  private final Map<String, Long> lastOffsets = new TreeMap<>();
  private final Map<String, Lease> leases = new TreeMap<>();
  private final Map<String, Long> loads = new LinkedHashMap<>();

  /** Creates a table without leases. */
  public LeaseTable() {}

  /** Creates a table from a snapshot. */
  public LeaseTable(LeaseSnapshot snapshot) {
    for (SessionState state : snapshot.sessions()) {
      lastOffsets.put(state.session(), state.lastOffset());
      for (HeldLease lease : state.holds()) {
        leases.put(lease.endpoint(), new Lease(state.session(), lease.fence()));
      }
    }
    snapshot.loads().forEach(load -> loads.put(load.endpoint(), load.requestedAt()));
  }

  /** Returns a snapshot of the whole state before an offset. */
  public LeaseSnapshot snapshot(long nextOffset) {
    List<SessionState> sessions =
        lastOffsets.entrySet().stream()
            .map(
                entry ->
                    new SessionState(entry.getKey(), entry.getValue(), heldLeases(entry.getKey())))
            .toList();
    List<LoadEnd> queue =
        loads.entrySet().stream()
            .map(entry -> new LoadEnd(entry.getKey(), entry.getValue()))
            .toList();
    return new LeaseSnapshot(false, nextOffset, sessions, queue);
  }

  /** Returns the lease of an endpoint, empty if it is free. */
  public Optional<Lease> lease(String endpoint) {
    return Optional.ofNullable(leases.get(endpoint));
  }

  /** Returns the leases of a session, ordered by endpoint. */
  public List<HeldLease> heldLeases(String session) {
    return leases.entrySet().stream()
        .filter(entry -> entry.getValue().session().equals(session))
        .map(entry -> new HeldLease(entry.getKey(), entry.getValue().fence()))
        .toList();
  }

  /** Returns the sessions that hold leases. */
  public Set<String> sessions() {
    return Set.copyOf(lastOffsets.keySet());
  }

  /** Returns the offset of a session's last record, empty if it holds no leases. */
  public Optional<Long> lastOffset(String session) {
    return Optional.ofNullable(lastOffsets.get(session));
  }

  /** Returns the offset of each endpoint's load request, in the order of the requests. */
  public Map<String, Long> loads() {
    return new LinkedHashMap<>(loads);
  }

  /** Returns whether an endpoint's load is within the first {@code limit} ones of the queue. */
  public boolean isLoadGranted(String endpoint, int limit) {
    return loads.keySet().stream().limit(limit).anyMatch(endpoint::equals);
  }

  /** Applies the record read at an offset. */
  public void apply(long offset, LeaseRecord record) {
    String session = record.session();
    boolean hasSessionEnded = record.isContinuation() && !lastOffsets.containsKey(session);
    if (hasSessionEnded) {
      return;
    }
    lastOffsets.put(session, offset);
    record.ends().forEach(this::end);
    record.releases().forEach(release -> release(session, release));
    record.takes().forEach(endpoint -> leases.putIfAbsent(endpoint, new Lease(session, offset)));
    record.loadEnds().forEach(end -> endLoad(session, end));
    for (String endpoint : record.loadRequests()) {
      if (isHeldBy(session, endpoint)) {
        loads.putIfAbsent(endpoint, offset);
      }
    }
    if (heldLeases(session).isEmpty()) {
      lastOffsets.remove(session);
    }
  }

  private void end(SessionEnd end) {
    boolean isEnded = lastOffsets.remove(end.session(), end.lastOffset());
    if (isEnded) {
      leases.values().removeIf(lease -> lease.session().equals(end.session()));
    }
  }

  private void release(String session, HeldLease release) {
    leases.remove(release.endpoint(), new Lease(session, release.fence()));
  }

  private void endLoad(String session, LoadEnd end) {
    boolean isFree = !leases.containsKey(end.endpoint());
    if (isFree || isHeldBy(session, end.endpoint())) {
      loads.remove(end.endpoint(), end.requestedAt());
    }
  }

  private boolean isHeldBy(String session, String endpoint) {
    Lease lease = leases.get(endpoint);
    return lease != null && lease.session().equals(session);
  }
}
