package io.samphiredyke.core.pool;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * What the requests of one host took of the customers' quotas lately, and who granted it.
 *
 * <p>A scheduler that takes over from another one learns from it what was used meanwhile; without
 * that its bucket would be full again and a customer would get its burst twice in a window.
 */
public final class QuotaLedger {

  private record Entry(long at, String customer, long units, String grantedBy) {}

  private final long windowNanos;
  private final Deque<Entry> entries = new ArrayDeque<>();
  private final Map<String, Long> toldUntil = new HashMap<>();

  /**
   * Creates an empty ledger.
   *
   * @param windowNanos how long an entry matters
   */
  public QuotaLedger(long windowNanos) {
    this.windowNanos = windowNanos;
  }

  /** Notes units that a scheduler granted. */
  public void add(String customer, long units, String grantedBy, long now) {
    if (units > 0 && !customer.isEmpty()) {
      entries.addLast(new Entry(now, customer, units, grantedBy));
    }
    while (!entries.isEmpty() && now - entries.peekFirst().at() > windowNanos) {
      entries.removeFirst();
    }
  }

  /** Returns the units by customer that a scheduler has not granted itself nor been told of. */
  public Map<String, Long> unreportedUsage(String scheduler, long now) {
    long since = toldUntil.getOrDefault(scheduler, now - windowNanos);
    toldUntil.put(scheduler, now);
    Map<String, Long> units = new HashMap<>();
    for (Entry entry : entries) {
      if (entry.at() > since && entry.at() <= now && !entry.grantedBy().equals(scheduler)) {
        units.merge(entry.customer(), entry.units(), Long::sum);
      }
    }
    return units;
  }
}
