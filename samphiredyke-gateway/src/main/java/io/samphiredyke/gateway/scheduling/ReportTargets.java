package io.samphiredyke.gateway.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Schedulers that get reports of the slots held here.
 *
 * <p>Reports go on for a while after the last slot: the release of a slot or a report may be lost,
 * and a report that comes soon after a grant frees nothing.
 */
final class ReportTargets {

  /** Reports after the last slot; at twice a second 5 s, which outlasts a pause of either host. */
  private static final int REPORTS = 10;

  private final Map<String, Integer> remaining = new HashMap<>();

  /** Records that a slot granted by a scheduler, or of a service that it schedules, is held. */
  void used(String scheduler) {
    remaining.put(scheduler, REPORTS);
  }

  /** Returns the schedulers that get the next report. */
  Set<String> next() {
    Set<String> due = Set.copyOf(remaining.keySet());
    due.forEach(each -> remaining.computeIfPresent(each, (key, n) -> n > 1 ? n - 1 : null));
    return due;
  }
}
