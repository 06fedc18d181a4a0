package io.samphiredyke.daemon.entry;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** The requests that an entry remembers, bounded in all and for each customer. */
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

  /** Returns whether one more request of a customer may be remembered. */
  boolean hasCapacity(String customer) {
    return sessions.size() < limits.requests()
        && countByCustomer.getOrDefault(customer, 0) < limits.requestsPerCustomer();
  }

  void add(RequestSession session) {
    sessions.put(session.request().idText(), session);
    countByCustomer.merge(session.request().customer().name(), 1, Integer::sum);
  }

  /** Forgets the requests whose tickets have expired and that are not worked on. */
  void removeExpired(long nowEpochMillis) {
    Iterator<RequestSession> each = sessions.values().iterator();
    while (each.hasNext()) {
      RequestSession session = each.next();
      if (session.isActive() || !session.request().ticket().isExpired(nowEpochMillis)) {
        continue;
      }
      session.dropContent();
      each.remove();
      countByCustomer.computeIfPresent(
          session.request().customer().name(), (name, count) -> count > 1 ? count - 1 : null);
    }
  }

  /** Drops finished answers, oldest first, those without readers before others. */
  void evictResponsesWhileFull() {
    if (!limits.memory().isFull()) {
      return;
    }
    Comparator<RequestSession> unreadFirst = Comparator.comparing(RequestSession::hasReaders);
    List<RequestSession> finished =
        sessions.values().stream()
            .filter(RequestSession::holdsFinishedContent)
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
