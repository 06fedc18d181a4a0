package io.samphiredyke.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The result of a run with faulty endpoints. */
final class EndpointFaultsResult {

  /** Number of findings of a kind that the summary shows with their history. */
  private static final int SHOWN = 2;

  private final SoakOptions options;
  private final List<EndpointFaultsChecker.Finding> findings;
  private final Map<String, Integer> actions = new TreeMap<>();
  private final Map<String, Integer> outcomes = new TreeMap<>();

  private final Builds builds;
  private final FramingCosts costs;
  private long usedMillis;
  private long roomMillis;

  EndpointFaultsResult(
      SoakOptions options,
      Observations observations,
      Collection<CallerOutcome> received,
      List<EndpointFaultsChecker.Finding> findings,
      Builds builds) {
    this.options = options;
    this.builds = builds;
    this.findings = findings;
    costs = new FramingCosts(observations, received);
    observations.endpointActions().values().forEach(lines -> lines.forEach(this::add));
    received.forEach(
        outcome -> outcomes.merge(typeOf(outcome) + " " + outcome.summary(), 1, Integer::sum));
  }

  private void add(String action) {
    actions.merge(kindOf(action), 1, Integer::sum);
    String[] words = action.split(" ");
    if (words[0].equals("used")) {
      usedMillis += Long.parseLong(words[1]);
      roomMillis += Long.parseLong(words[3]);
    }
  }

  private static String typeOf(CallerOutcome outcome) {
    if (outcome.lastEventBefore() > 0) {
      return "take-up";
    }
    return outcome.kind().isStream() ? "stream" : "plain";
  }

  private static String kindOf(String action) {
    String[] words = action.split(" ");
    return switch (words[0]) {
      case "ran", "again", "spliced", "joined", "closed", "brittle", "fell", "used" -> words[0];
      case "copy" -> String.join(" ", words[0], words[1], words[2].replaceAll("-.*", ""), words[3]);
      default -> words[0] + " " + words[1];
    };
  }

  /** Returns the number of sound responses that were not passed on whole. */
  int soundLost() {
    return costs.soundLost();
  }

  /** Returns the findings but for those of an earlier build. */
  List<EndpointFaultsChecker.Finding> findings() {
    return findings.stream().filter(finding -> !builds.isOfEarlier(finding.kind())).toList();
  }

  /** Returns counts, and each kind of finding with the history of some requests. */
  List<String> summary() {
    return lines(SHOWN);
  }

  /** Returns counts and all findings with their history. */
  List<String> lines() {
    return lines(Integer.MAX_VALUE);
  }

  private List<String> lines(int shown) {
    List<String> lines = new ArrayList<>();
    lines.add(
        "seed "
            + options.seed()
            + ", "
            + options.hosts()
            + " hosts, "
            + options.endpoints()
            + " endpoints, "
            + options.endpointFaults()
            + ": "
            + (findings().isEmpty() ? "green" : findings().size() + " findings")
            + (findings().size() == findings.size()
                ? ""
                : ", " + (findings.size() - findings().size()) + " of the earlier build"));
    if (options.isMixed() && shown > SHOWN) {
      lines.addAll(builds.lines());
    }
    lines.add("  endpoints: " + actions);
    lines.add("  callers: " + outcomes);
    lines.addAll(costs.lines());
    if (roomMillis > 0) {
      lines.add("  reduced room used: " + 100 * usedMillis / roomMillis + " of 100");
    }
    Map<String, List<EndpointFaultsChecker.Finding>> byKind = new TreeMap<>();
    findings.forEach(
        finding -> byKind.computeIfAbsent(finding.kind(), kind -> new ArrayList<>()).add(finding));
    byKind.forEach(
        (kind, found) -> {
          lines.add("  " + found.size() + " " + kind);
          found.stream()
              .limit(shown)
              .forEach(finding -> finding.history().forEach(line -> lines.add("      " + line)));
        });
    return lines;
  }
}
