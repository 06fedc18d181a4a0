package io.samphiredyke.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Compares what callers were told with what endpoints ran. */
final class Verdict {

  /** Statuses that promise that the request did not run. */
  private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

  /** Statuses that deny what every configuration allows. */
  private static final Set<Integer> DENIALS = Set.of(400, 401, 403, 404, 413, 431);

  /** The platform's window of quotas, with the share and units beyond, see the settings. */
  private static final long QUOTA_WINDOW_MILLIS = 8_000;

  private static final double QUOTA_TOLERANCE = 1.1;
  private static final int QUOTA_SLACK = 5;

  private final Evidence evidence;
  private final List<String> findings = new ArrayList<>();

  private Verdict(Evidence evidence) {
    this.evidence = evidence;
  }

  /**
   * Returns what breaks a promise, one line each.
   *
   * @param limitedCustomer customer with a quota
   * @param limitedRate its requests for a second, and at once
   */
  static List<String> of(Evidence evidence, String limitedCustomer, int limitedRate) {
    Verdict verdict = new Verdict(evidence);
    Map<String, Integer> runs = verdict.countRuns();
    verdict.checkOnce(runs);
    verdict.checkExchanges(runs);
    verdict.checkQuota(limitedCustomer, limitedRate);
    return verdict.findings;
  }

  private Map<String, Integer> countRuns() {
    Map<String, Integer> counts = new HashMap<>();
    for (Evidence.Run run : evidence.runs()) {
      counts.merge(run.id(), 1, Integer::sum);
      RequestKind kind = evidence.sent().get(run.id());
      if (kind == null) {
        findings.add("UNASKED " + run);
      } else if (!kind.service().equals(run.service())) {
        findings.add("ROUTE " + kind + " " + run);
      }
    }
    return counts;
  }

  private void checkOnce(Map<String, Integer> runs) {
    runs.forEach(
        (id, count) -> {
          RequestKind kind = evidence.sent().get(id);
          if (count > 1 && kind != null && !kind.mayRepeat()) {
            findings.add("TWICE " + kind + " " + id + " ran " + count + " times");
          }
        });
  }

  private void checkExchanges(Map<String, Integer> runs) {
    for (Exchange exchange : evidence.exchanges()) {
      if (!exchange.note().isEmpty()) {
        findings.add("MIXED " + exchange);
      }
      boolean ran = runs.containsKey(exchange.id());
      if (PROMISES.contains(exchange.status()) && ran && !exchange.kind().mayRepeat()) {
        findings.add("REFUSED but ran: " + exchange);
      }
      if (exchange.isServed() && !ran) {
        findings.add("MIXED served without a run: " + exchange);
      }
      if (DENIALS.contains(exchange.status())) {
        findings.add("DENIED " + exchange);
      }
    }
  }

  private void checkQuota(String customer, int rate) {
    List<Long> times =
        evidence.runs().stream()
            .filter(run -> run.customer().equals(customer))
            .map(Evidence.Run::millis)
            .sorted()
            .toList();
    double allowed = (rate * QUOTA_WINDOW_MILLIS / 1e3 + rate) * QUOTA_TOLERANCE + QUOTA_SLACK;
    int first = 0;
    for (int last = 0; last < times.size(); last++) {
      while (times.get(last) - times.get(first) > QUOTA_WINDOW_MILLIS) {
        first++;
      }
      if (last - first + 1 > allowed) {
        findings.add(
            "QUOTA " + (last - first + 1) + " runs in a window that ends at " + times.get(last));
        return;
      }
    }
  }
}
