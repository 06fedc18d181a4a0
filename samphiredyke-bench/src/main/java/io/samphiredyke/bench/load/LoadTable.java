package io.samphiredyke.bench.load;

import java.util.Locale;
import java.util.Map;

/** Formats a load report as a text table. */
final class LoadTable {

  private static final String HEADER =
      String.format(
          Locale.ROOT,
          "%-14s %7s %7s %8s %5s %7s %7s %6s %7s  %-21s  %s%n",
          "tier",
          "offered",
          "good",
          "goodput",
          "late",
          "refused",
          "unknown",
          "failed",
          "resumed",
          "first token ms",
          "between tokens ms");
  private static final int MAX_LISTED_LINES = 20;
  private static final double PERCENT = 100;

  private LoadTable() {}

  static String format(LoadReport report) {
    StringBuilder text = new StringBuilder();
    text.append(HEADER);
    report.tiers().forEach((tier, row) -> text.append(line(tier, row)));
    text.append(line("all", report.total()));
    text.append(
        String.format(
            Locale.ROOT,
            "%n%d requests in %.1f s, seed %d; times are p50/p95/p99%n",
            report.requests(),
            report.seconds(),
            report.seed()));
    text.append(prefill(report));
    text.append(verification(report));
    appendLines(text, "violations", report.violations().stream().map(Object::toString).toList());
    appendLines(text, "unsuccessful requests by reason", reasons(report.unsuccessful()));
    return text.toString();
  }

  private static String line(String tier, LoadReport.Row row) {
    return String.format(
        Locale.ROOT,
        "%-14s %7d %7d %7.1f%% %5d %7d %7d %6d %7d  %-21s  %s%n",
        tier,
        row.offered(),
        row.good(),
        PERCENT * row.good() / Math.max(1, row.offered()),
        row.late(),
        row.refused(),
        row.unknown(),
        row.failed(),
        row.resumed(),
        times(row.firstToken()),
        times(row.tokenInterval()));
  }

  private static String times(LoadReport.Times times) {
    return String.format(Locale.ROOT, "%.0f/%.0f/%.0f", times.p50(), times.p95(), times.p99());
  }

  private static String prefill(LoadReport report) {
    double wastedPercent =
        PERCENT * report.wastedPrefillTokens() / Math.max(1, report.prefilledTokens());
    return String.format(
        Locale.ROOT,
        "prefill: %d tokens computed, %d wasted (%.1f%%)%n",
        report.prefilledTokens(),
        report.wastedPrefillTokens(),
        wastedPercent);
  }

  private static String verification(LoadReport report) {
    Map<Violation.Kind, Long> violated = report.violated();
    StringBuilder text = new StringBuilder("checked against the endpoints' counts:");
    violated.forEach(
        (kind, count) -> text.append(' ').append(label(kind)).append(' ').append(count));
    text.append(report.isClean() ? " - none violated" : " - VIOLATED").append('\n');
    if (!report.missingCounts().isEmpty()) {
      text.append("no counts from ").append(report.missingCounts());
      text.append("; ").append(report.unverified()).append(" responses unverified\n");
    }
    return text.toString();
  }

  private static String label(Violation.Kind kind) {
    return switch (kind) {
      case LOST -> "lost";
      case WRONG_ANSWER -> "wrong";
      case DOUBLED -> "doubled";
      case MISPLACED -> "misplaced";
      case FALSE_NOT_RUN -> "false-not-run";
    };
  }

  private static java.util.List<String> reasons(Map<String, Integer> reasons) {
    return reasons.entrySet().stream().map(e -> e.getValue() + " x " + e.getKey()).toList();
  }

  private static void appendLines(StringBuilder text, String title, java.util.List<String> lines) {
    if (lines.isEmpty()) {
      return;
    }
    text.append(title).append(":\n");
    lines.stream()
        .limit(MAX_LISTED_LINES)
        .forEach(line -> text.append("  ").append(line).append('\n'));
    if (lines.size() > MAX_LISTED_LINES) {
      text.append("  and ").append(lines.size() - MAX_LISTED_LINES).append(" more\n");
    }
  }
}
