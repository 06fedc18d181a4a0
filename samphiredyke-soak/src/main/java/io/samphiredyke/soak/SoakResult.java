package io.samphiredyke.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** The outcome of a run. */
final class SoakResult {

  private final long seed;
  private final List<Exchange> exchanges;
  private final List<String> findings;

  SoakResult(long seed, Evidence evidence, List<String> findings) {
    this.seed = seed;
    this.exchanges = evidence.exchanges();
    this.findings = List.copyOf(findings);
  }

  /** Returns what broke a promise. */
  List<String> findings() {
    return findings;
  }

  /** Returns one line with counts, and one a finding. */
  List<String> lines() {
    List<String> lines = new ArrayList<>();
    long served = exchanges.stream().filter(Exchange::isServed).count();
    Map<Integer, Integer> statuses = new TreeMap<>();
    exchanges.forEach(exchange -> statuses.merge(exchange.status(), 1, Integer::sum));
    lines.add(
        String.format(
            Locale.ROOT,
            "seed %d: %s, %d requests, %.3f served, answers %s",
            seed,
            findings.isEmpty() ? "green" : findings.size() + " findings",
            exchanges.size(),
            exchanges.isEmpty() ? 0.0 : (double) served / exchanges.size(),
            statuses));
    findings.forEach(finding -> lines.add("  " + finding));
    return lines;
  }
}
