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
 * Who holds which endpoint, a pure function of the records in log order.
 *
 * <p>No clock is involved: a session ends by a record that names its last offset, which a renewal
 * that comes first makes void. So all hosts judge each record alike, whenever they read it. A load
 * outlives the lease under which it was requested, as the engine goes on with it; the next holder
 * ends it. Not thread-safe.
 */
public final class LeaseTable {

  /**
   * A lease in force.
   *
   * @param session the session that holds it
   * @param fence the offset of the record that took it
   */
  public record Lease(String session, long fence) {}

  private final Map<String, Long> lastOffsets = new TreeMap<>();
  private final Map<String, Lease> leases = new TreeMap<>();
  private final Map<String, Long> loads = new LinkedHashMap<>();

  /** Creates a table without leases. */
  public LeaseTable() {}

  /** Creates the table of a snapshot. */
  public LeaseTable(LeaseSnapshot snapshot) {
    for (SessionState state : snapshot.sessions()) {
      lastOffsets.put(state.session(), state.lastOffset());
      for (HeldLease hold : state.holds()) {
        leases.put(hold.endpoint(), new Lease(state.session(), hold.fence()));
      }
    }
    snapshot.loads().forEach(load -> loads.put(load.endpoint(), load.requestedAt()));
  }

  /** Returns the whole state, before an offset. */
  public LeaseSnapshot snapshot(long nextOffset) {
    List<SessionState> sessions =
        lastOffsets.entrySet().stream()
            .map(entry -> new SessionState(entry.getKey(), entry.getValue(), holds(entry.getKey())))
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

  /** Returns the leases of a session in the order of their endpoints. */
  public List<HeldLease> holds(String session) {
    return leases.entrySet().stream()
        .filter(entry -> entry.getValue().session().equals(session))
        .map(entry -> new HeldLease(entry.getKey(), entry.getValue().fence()))
        .toList();
  }

  /** Returns the sessions that hold leases. */
  public Set<String> sessions() {
    return Set.copyOf(lastOffsets.keySet());
  }

  /** Returns the offset of a session's last record, empty if it holds nothing. */
  public Optional<Long> lastOffset(String session) {
    return Optional.ofNullable(lastOffsets.get(session));
  }

  /** Returns the offset of each endpoint's load request, in the order of the requests. */
  public Map<String, Long> loads() {
    return new LinkedHashMap<>(loads);
  }

  /** Returns whether an endpoint's load is among the first of the queue. */
  public boolean isLoadGranted(String endpoint, int limit) {
    return loads.keySet().stream().limit(limit).anyMatch(endpoint::equals);
  }

  /** Applies the record at an offset. */
  public void apply(long offset, LeaseRecord record) {
    String session = record.session();
    boolean isVoid = record.isContinuation() && !lastOffsets.containsKey(session);
    if (isVoid) {
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
    if (holds(session).isEmpty()) {
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
