package io.samphiredyke.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** The result of a soak run. */
final class SoakResult {

  private final long seed;
  private final List<Exchange> exchanges;
  private final List<String> findings;

  private final List<String> ofEarlier;

  /**
   * Returns the result of a run.
   *
   * @param ofEarlier what hosts of an earlier build violated
   */
  SoakResult(long seed, Observations observations, List<String> findings, List<String> ofEarlier) {
    this.ofEarlier = List.copyOf(ofEarlier);
    this.seed = seed;
    this.exchanges = observations.exchanges();
    this.findings = List.copyOf(findings);
  }

  /** Returns the violated guarantees. */
  List<String> findings() {
    return findings;
  }

  /** Returns a summary line, followed by one line per finding. */
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
    ofEarlier.forEach(finding -> lines.add("  earlier build: " + finding));
    return lines;
  }
}
