package io.samphiredyke.daemon.entry;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** The sessions of an entry by request id, limited in total and for each customer. */
final class SessionTable {

  private final EntryLimits limits;
  private final Map<String, RequestSession> sessions = new HashMap<>();
  private final Map<String, Integer> countByCustomer = new HashMap<>();

  SessionTable(EntryLimits limits) {
    this.limits = limits;
  }

  @Nullable RequestSession get(String id) {
    return sessions.get(id);
  }

  Optional<RequestSession> find(String id) {
    return Optional.ofNullable(sessions.get(id));
  }

  Collection<RequestSession> all() {
    return sessions.values();
  }

  int size() {
    return sessions.size();
  }

  /** Returns whether a session of a customer can be added. */
  boolean hasCapacity(String customer) {
    return sessions.size() < limits.maxSessions()
        && countByCustomer.getOrDefault(customer, 0) < limits.maxSessionsPerCustomer();
  }

  void add(RequestSession session) {
    sessions.put(session.request().idText(), session);
    countByCustomer.merge(session.request().customer().name(), 1, Integer::sum);
  }

  /** Removes the inactive sessions whose tickets have expired. */
  void removeExpired(long nowEpochMillis) {
    Iterator<RequestSession> iterator = sessions.values().iterator();
    while (iterator.hasNext()) {
      RequestSession session = iterator.next();
      if (session.isActive() || !session.request().ticket().isExpired(nowEpochMillis)) {
        continue;
      }
      session.dropContent();
      iterator.remove();
      countByCustomer.computeIfPresent(
          session.request().customer().name(), (name, count) -> count > 1 ? count - 1 : null);
    }
  }

  /**
   * Drops the bodies and responses of settled requests until the memory budget is met: those
   * without readers before the others, and in both groups the oldest first.
   */
  void evictResponsesWhileFull() {
    if (!limits.memory().isFull()) {
      return;
    }
    Comparator<RequestSession> unreadFirst = Comparator.comparing(RequestSession::hasReaders);
    List<RequestSession> finished =
        sessions.values().stream()
            .filter(RequestSession::hasEvictableContent)
            .sorted(unreadFirst.thenComparingLong(RequestSession::settledAtEpochMillis))
            .toList();
    for (RequestSession session : finished) {
      if (!limits.memory().isFull()) {
        return;
      }
      session.dropContent();
    }
  }
}
