package io.samphiredyke.core.pool;

import java.util.HashMap;
import java.util.Map;

/** Number of endpoints of each software version of a service. */
final class VersionCounts {

  private final Map<String, Integer> counts = new HashMap<>();

  void add(String version) {
    counts.merge(version, 1, Integer::sum);
  }

  void remove(String version) {
    counts.computeIfPresent(version, (key, count) -> count > 1 ? count - 1 : null);
  }

  int of(String version) {
    return counts.getOrDefault(version, 0);
  }
}
