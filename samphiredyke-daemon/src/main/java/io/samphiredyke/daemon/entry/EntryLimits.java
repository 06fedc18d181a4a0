package io.samphiredyke.daemon.entry;

import io.samphiredyke.daemon.response.MemoryBudget;

/**
 * Bounds of what an entry holds.
 *
 * @param memory counts the bytes of bodies and answers of all requests
 * @param answerBytes the longest answer of one request
 * @param requests the most requests remembered; one customer may have half of them
 */
public record EntryLimits(MemoryBudget memory, long answerBytes, int requests) {

  /** Returns the most requests remembered of one customer. */
  int requestsPerCustomer() {
    return Math.max(1, requests / 2);
  }
}
