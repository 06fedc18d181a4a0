package io.samphiredyke.gateway.scheduling;

import io.samphiredyke.gateway.log.DecisionLog;
import java.util.HashMap;
import java.util.Map;

/** Datagrams that this build does not understand, as other builds send them. */
final class SkippedDatagrams {

  /** Bound of the reasons that are counted apart. */
  private static final int MAX_REASONS = 64;

  private static final int LOGGED_ONE_IN = 1_000;
  private static final String OTHER_REASONS = "other";

  private final DecisionLog log;
  private final Map<String, Long> countByReason = new HashMap<>();
  private long count;

  SkippedDatagrams(DecisionLog log) {
    this.log = log;
  }

  /** Counts a datagram; the first one of each thousand of a reason is logged. */
  void add(String from, String reason) {
    count++;
    boolean isCountedApart =
        countByReason.containsKey(reason) || countByReason.size() < MAX_REASONS;
    long ofReason = countByReason.merge(isCountedApart ? reason : OTHER_REASONS, 1L, Long::sum);
    if (ofReason % LOGGED_ONE_IN == 1) {
      log.event(
          "datagram_skipped", "from", from, "reason", reason, "skipped", ofReason, "count", count);
    }
  }

  long count() {
    return count;
  }
}
