package io.samphiredyke.daemon.entry;

import io.samphiredyke.core.config.Configuration;
import io.samphiredyke.core.config.Service;
import io.samphiredyke.net.admin.TierStatus;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Counts the requests of one entry by tier. */
final class TierCounters {

  private static final class Ended {
    private long completed;
    private long refused;
  }

  private final Map<String, Ended> ended = new TreeMap<>();

  /** Counts a request that has its outcome. */
  void settled(String tier, boolean answered) {
    Ended counts = ended.computeIfAbsent(tier, name -> new Ended());
    if (answered) {
      counts.completed++;
    } else {
      counts.refused++;
    }
  }

  /** Returns the counts of each tier that a service of the configuration has. */
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
    Ended counts = ended.getOrDefault(tier, new Ended());
    return new TierStatus(tier, waiting, inFlight, counts.completed, counts.refused);
  }
}
