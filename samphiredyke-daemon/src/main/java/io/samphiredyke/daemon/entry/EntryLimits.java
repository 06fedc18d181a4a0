package io.samphiredyke.daemon.entry;

import io.samphiredyke.daemon.response.MemoryBudget;

/**
 * Limits of the memory and the number of sessions of an entry.
 *
 * @param memory the budget for the bodies and responses of all requests
 * @param maxResponseBytes the maximum length of one response in bytes
 * @param maxSessions the maximum number of sessions; one customer may use half of them
 */
public record EntryLimits(MemoryBudget memory, long maxResponseBytes, int maxSessions) {

  /** Returns the maximum number of sessions of one customer. */
  int maxSessionsPerCustomer() {
    return Math.max(1, maxSessions / 2);
  }
}
