package io.samphiredyke.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Compares the responses to callers with the executions at endpoints. */
final class ResultChecker {

  /** Statuses that guarantee that the request was not executed. */
  private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);

  /** Rejection statuses; never expected, as each configuration of the run allows all requests. */
  private static final Set<Integer> REJECTION_STATUSES = Set.of(400, 401, 403, 404, 413, 431);

  /** The platform's quota window; tolerance and slack are those of the platform's settings. */
  private static final long QUOTA_WINDOW_MILLIS = 8_000;

  private static final double QUOTA_TOLERANCE = 1.1;
  private static final int QUOTA_SLACK = 5;

  /** Crashes after which a request must no longer reach endpoints, and the time that it takes. */
  private static final int TOLERATED_CRASHES = 3;

  private static final long SETTLE_MILLIS = 3_000;

  /** Crashes that are tolerated after that. */
  private static final int TOLERATED_LATE_CRASHES = 3;

  private final Observations observations;
  private final List<String> findings = new ArrayList<>();

  private ResultChecker(Observations observations) {
    this.observations = observations;
  }

  /**
   * Returns the violated guarantees, one line each.
   *
   * @param limitedCustomer the customer with a quota
   * @param limitedRate the customer's quota: requests per second and burst
   */
  static List<String> check(Observations observations, String limitedCustomer, int limitedRate) {
    ResultChecker checker = new ResultChecker(observations);
    Map<String, Integer> executions = checker.countExecutions();
    checker.checkSingleExecution(executions);
    checker.checkExchanges(executions);
    checker.checkQuota(limitedCustomer, limitedRate);
    checker.checkCrashes();
    checker.checkVersions();
    return checker.findings;
  }

  private Map<String, Integer> countExecutions() {
    Map<String, Integer> counts = new HashMap<>();
    for (Observations.Execution execution : observations.executions()) {
      counts.merge(execution.id(), 1, Integer::sum);
      RequestKind kind = observations.sent().get(execution.id());
      if (kind == null) {
        findings.add("UNASKED " + execution);
      } else if (!kind.service().equals(execution.service())) {
        findings.add("ROUTE " + kind + " " + execution);
      }
    }
    return counts;
  }

  private void checkSingleExecution(Map<String, Integer> executions) {
    executions.forEach(
        (id, count) -> {
          RequestKind kind = observations.sent().get(id);
          if (count > 1 && kind != null && !kind.isRetryable()) {
            findings.add("TWICE " + kind + " " + id + " executed " + count + " times");
          }
        });
  }

  private void checkExchanges(Map<String, Integer> executions) {
    for (Exchange exchange : observations.exchanges()) {
      if (!exchange.defect().isEmpty()) {
        findings.add("MIXED " + exchange);
      }
      boolean wasExecuted = executions.containsKey(exchange.id());
      if (NOT_EXECUTED_STATUSES.contains(exchange.status())
          && wasExecuted
          && !exchange.kind().isRetryable()) {
        findings.add("REFUSED but executed: " + exchange);
      }
      if (exchange.isServed() && !wasExecuted) {
        findings.add("MIXED served without an execution: " + exchange);
      }
      if (REJECTION_STATUSES.contains(exchange.status())) {
        findings.add("DENIED " + exchange);
      }
    }
  }

  private void checkQuota(String customer, int rate) {
    List<Long> times =
        observations.executions().stream()
            .filter(execution -> execution.customer().equals(customer))
            .map(Observations.Execution::millis)
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
            "QUOTA "
                + (last - first + 1)
                + " executions in the window ending at "
                + times.get(last));
        return;
      }
    }
  }

  /** Checks that a request that has crashed some endpoints reaches hardly any more. */
  private void checkCrashes() {
    Map<String, List<Long>> byPath = new TreeMap<>();
    observations
        .crashes()
        .forEach(
            crash ->
                byPath.computeIfAbsent(crash.path(), key -> new ArrayList<>()).add(crash.millis()));
    byPath.forEach(
        (path, times) -> {
          times.sort(null);
          if (times.size() < TOLERATED_CRASHES) {
            return;
          }
          long settled = times.get(TOLERATED_CRASHES - 1) + SETTLE_MILLIS;
          long late = times.stream().filter(time -> time > settled).count();
          if (late > TOLERATED_LATE_CRASHES) {
            findings.add("BUDGET " + path + " crashed " + late + " endpoints too many: " + times);
          }
        });
  }

  /** Checks that streams go on only at the software version that began them. */
  private void checkVersions() {
    Map<String, String> begunAt = new HashMap<>();
    observations.executions().stream()
        .sorted(Comparator.comparingLong(Observations.Execution::millis))
        .forEach(
            execution -> {
              String stream = observations.streamOf(execution.id());
              if (execution.firstEvent() == 1) {
                begunAt.put(stream, execution.version());
                return;
              }
              String version = begunAt.get(stream);
              if (version != null && !version.equals(execution.version())) {
                findings.add("ORDER a stream of " + version + " went on: " + execution);
              }
            });
  }
}
