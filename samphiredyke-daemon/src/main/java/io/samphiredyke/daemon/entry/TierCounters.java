package io.samphiredyke.daemon.entry;

import io.samphiredyke.core.config.Configuration;
import io.samphiredyke.core.config.Service;
import io.samphiredyke.net.admin.TierStatus;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Counts the waiting, dispatched and settled requests of one entry by tier. */
final class TierCounters {

  private static final class Outcomes {
    private long completed;
    private long refused;
  }

  private final Map<String, Outcomes> outcomesByTier = new TreeMap<>();

  /** Counts a settled request. */
  void recordOutcome(String tier, boolean isCompleted) {
    Outcomes outcomes = outcomesByTier.computeIfAbsent(tier, name -> new Outcomes());
    if (isCompleted) {
      outcomes.completed++;
    } else {
      outcomes.refused++;
    }
  }

  /** Returns the number of requests by state for each tier that a configured service uses. */
  List<TierStatus> status(Configuration configuration, Collection<RequestSession> sessions) {
    return configuration.services().stream()
        .map(Service::tier)
        .distinct()
        .sorted()
        .map(tier -> status(tier, sessions))
        .toList();
  }

  private TierStatus status(String tier, Collection<RequestSession> sessions) {
    int waiting = 0;
    int inFlight = 0;
    for (RequestSession session : sessions) {
      if (!session.request().service().tier().equals(tier) || !session.isActive()) {
        continue;
      }
      if (session.isDispatched()) {
        inFlight++;
      } else {
        waiting++;
      }
    }
    Outcomes outcomes = outcomesByTier.getOrDefault(tier, new Outcomes());
    return new TierStatus(tier, waiting, inFlight, outcomes.completed, outcomes.refused);
  }
}
