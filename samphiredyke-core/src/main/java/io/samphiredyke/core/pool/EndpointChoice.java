package io.samphiredyke.core.pool;

import java.util.Iterator;
import org.jspecify.annotations.Nullable;

/** Chooses an endpoint for one request among those with a free slot. */
final class EndpointChoice {

  /** Endpoints that are compared exactly for a request, beside those that hold its prompt. */
  private static final int COMPARED_ENDPOINTS = 6;

  private final SlotRequest request;
  private final boolean isLost;
  private final boolean ignoresPauses;
  private final long now;
  private @Nullable IndexedEndpoint best;
  private double bestMillis = Double.MAX_VALUE;

  /**
   * Creates a choice.
   *
   * @param isLost whether the requester reaches no endpoint, as far as is known
   * @param ignoresPauses whether to choose also endpoints that are paused for the requester
   */
  EndpointChoice(SlotRequest request, boolean isLost, boolean ignoresPauses, long now) {
    this.request = request;
    this.isLost = isLost;
    this.ignoresPauses = ignoresPauses;
    this.now = now;
  }

  /** Returns whether the request must not be sent to an endpoint now. */
  boolean bars(IndexedEndpoint entry) {
    return request.excluded().contains(entry.load.endpoint().id())
        || (request.isIsolated() && entry.load.runsIsolated())
        || isPausedForRequester(entry);
  }

  /** A requester that fails, at this endpoint or everywhere, holds one slot of it at a time. */
  private boolean isPausedForRequester(IndexedEndpoint entry) {
    EndpointFailures failures = entry.load.failures();
    String requester = request.requester();
    if (!ignoresPauses && failures.isPausedFor(requester, now)) {
      return true;
    }
    boolean isProbe = isLost || (!ignoresPauses && failures.isFailingFor(requester));
    return isProbe && entry.load.runsProbe();
  }

  /** Compares the cheapest ones of some endpoints. */
  void compareCheapest(Iterable<IndexedEndpoint> byCost) {
    int compared = 0;
    for (Iterator<IndexedEndpoint> i = byCost.iterator();
        i.hasNext() && compared < COMPARED_ENDPOINTS; ) {
      IndexedEndpoint entry = i.next();
      if (!bars(entry)) {
        compared++;
        compare(entry);
      }
    }
  }

  /** Compares an endpoint with the best one so far. */
  void compare(IndexedEndpoint entry) {
    double millis = entry.load.expectedCostMillis(request.estimate());
    if (millis < bestMillis) {
      bestMillis = millis;
      best = entry;
    }
  }

  @Nullable EndpointLoad best() {
    return best == null ? null : best.load;
  }
}
