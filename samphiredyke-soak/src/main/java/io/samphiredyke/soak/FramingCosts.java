package io.samphiredyke.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What became of responses with and without length or chunks, by kind of request. */
final class FramingCosts {

  private static final Set<Integer> FAILED = Set.of(502, 504);

  private final Map<String, Group> groups = new TreeMap<>();

  /** Requests of a kind whose responses are alike. */
  private static final class Group {
    private final List<Long> servedMillis = new ArrayList<>();
    private int failed;
    private int brokenOff;
    private int other;

    void add(CallerOutcome outcome) {
      if (outcome.isSuccess() && outcome.isWhole()) {
        servedMillis.add(outcome.endMillis() - outcome.sentMillis());
      } else if (outcome.isWhole() && FAILED.contains(outcome.status())) {
        failed++;
      } else if (!outcome.isWhole()) {
        brokenOff++;
      } else {
        other++;
      }
    }

    String line() {
      List<Long> sorted = servedMillis.stream().sorted().toList();
      return String.format(
          Locale.ROOT,
          "%d served, %d failed with 502 or 504, %d broken off, %d other; median %s ms",
          sorted.size(),
          failed,
          brokenOff,
          other,
          sorted.isEmpty() ? "-" : sorted.get(sorted.size() / 2));
    }

    int lost() {
      return failed + brokenOff + other;
    }
  }

  /** Compares each outcome with what endpoints did to its request. */
  FramingCosts(Observations observations, Collection<CallerOutcome> outcomes) {
    for (CallerOutcome outcome : outcomes) {
      RequestHistory history = new RequestHistory(outcome, observations);
      String group = groupOf(history);
      if (!group.isEmpty()) {
        groups.computeIfAbsent(group + outcome.kind(), key -> new Group()).add(outcome);
      }
    }
  }

  private static String groupOf(RequestHistory history) {
    if (history.isSound()) {
      String death = history.isBesideDeath() ? " beside a death " : " ";
      return (history.isUnsized() ? "sound unsized" : "sound sized") + death;
    }
    if (history.isJoined()) {
      return "unsized with a copy ";
    }
    return history.isUnsized() && history.isBesideDeath() ? "unsized, cut by a death " : "";
  }

  /** Returns the number of sound responses that were not passed on whole. */
  int soundLost() {
    return groups.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith("sound"))
        .mapToInt(entry -> entry.getValue().lost())
        .sum();
  }

  /** Returns a line for each group. */
  List<String> lines() {
    List<String> lines = new ArrayList<>();
    groups.forEach((name, group) -> lines.add("  " + name + ": " + group.line()));
    return lines;
  }
}
