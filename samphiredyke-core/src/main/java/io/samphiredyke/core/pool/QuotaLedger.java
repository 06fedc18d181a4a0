package io.samphiredyke.core.pool;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Recent quota usage of the requests of one host, with the scheduler that granted each of them.
 *
 * <p>When a scheduler takes over from another one, the hosts report to it from their ledgers which
 * units the other one granted. Otherwise its buckets would start full and a customer could use its
 * burst twice within a quota window.
 */
public final class QuotaLedger {

  private record Entry(long grantedAt, String customer, long units, String grantedBy) {}

  private final long windowNanos;
  private final Deque<Entry> entries = new ArrayDeque<>();
  private final Map<String, Long> reportedUntil = new HashMap<>();

  /**
   * Creates an empty ledger.
   *
   * @param windowNanos how long an entry is kept, nanoseconds
   */
  public QuotaLedger(long windowNanos) {
    this.windowNanos = windowNanos;
  }

  /** Records units that a scheduler granted. */
  public void add(String customer, long units, String grantedBy, long now) {
    if (units > 0 && !customer.isEmpty()) {
      entries.addLast(new Entry(now, customer, units, grantedBy));
    }
    while (!entries.isEmpty() && now - entries.peekFirst().grantedAt() > windowNanos) {
      entries.removeFirst();
    }
  }

  /**
   * Returns the units by customer that other schedulers granted since the last call for this one.
   */
  public Map<String, Long> unreportedUsage(String scheduler, long now) {
    long since = reportedUntil.getOrDefault(scheduler, now - windowNanos);
    reportedUntil.put(scheduler, now);
    Map<String, Long> units = new HashMap<>();
    for (Entry entry : entries) {
      if (entry.grantedAt() > since
          && entry.grantedAt() <= now
          && !entry.grantedBy().equals(scheduler)) {
        units.merge(entry.customer(), entry.units(), Long::sum);
      }
    }
    return units;
  }
}
