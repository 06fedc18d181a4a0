package io.samphiredyke.bench.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Verifies the outcomes reported to callers against the executions counted by the endpoints.
 *
 * <p>A request that was reported as success is lost if no endpoint executed it. If the counts of an
 * endpoint are missing, such requests are counted as unverified instead.
 */
final class Verification {

  private final EndpointCounts.Collected counts;
  private final Map<String, List<Execution>> executions = new HashMap<>();
  private final List<Violation> violations = new ArrayList<>();
  private int unverified;

  private record Execution(String endpoint, String dataCentre, long times) {}

  private Verification(EndpointCounts.Collected counts) {
    this.counts = counts;
    for (EndpointCounts endpoint : counts.endpoints()) {
      endpoint
          .executions()
          .forEach(
              (id, times) ->
                  executions
                      .computeIfAbsent(id, key -> new ArrayList<>())
                      .add(new Execution(endpoint.name(), endpoint.dataCentre(), times)));
    }
  }

  /** Verifies all observations against the counts. */
  static Verification of(List<Observation> observations, EndpointCounts.Collected counts) {
    Verification verification = new Verification(counts);
    observations.forEach(verification::check);
    return verification;
  }

  List<Violation> violations() {
    return violations;
  }

  /** Returns the number of requests reported as success whose execution no count confirms. */
  int unverified() {
    return unverified;
  }

  long count(Violation.Kind kind) {
    return violations.stream().filter(violation -> violation.kind() == kind).count();
  }

  private void check(Observation observation) {
    if (observation.outcome() == Outcome.WRONG) {
      add(Violation.Kind.WRONG_ANSWER, observation, observation.reason());
    }
    checkLost(observation);
    checkDoubled(observation);
    checkDataCentres(observation);
    checkNotRun(observation);
  }

  private void checkLost(Observation observation) {
    if (!observation.isReportedSuccess() || executionCount(observation.ids()) > 0) {
      return;
    }
    if (!counts.missing().isEmpty()) {
      unverified++;
      return;
    }
    add(Violation.Kind.LOST, observation, "no endpoint executed it");
  }

  private void checkDoubled(Observation observation) {
    long times = executionCount(observation.ids());
    if (times > 1) {
      add(
          Violation.Kind.DOUBLED,
          observation,
          "executed " + times + " times: " + executionsOfRequest(observation));
    }
  }

  private void checkDataCentres(Observation observation) {
    for (Execution execution : executionsOf(observation.ids())) {
      if (!observation.request().service().dataCentres().contains(execution.dataCentre())) {
        add(Violation.Kind.MISPLACED, observation, "executed at " + execution);
      }
    }
  }

  private void checkNotRun(Observation observation) {
    for (String id : observation.notRunIds()) {
      if (executionCount(List.of(id)) > 0) {
        add(
            Violation.Kind.FALSE_NOT_RUN,
            observation,
            id + " was executed: " + executionsOfRequest(observation));
      }
    }
  }

  private List<Execution> executionsOfRequest(Observation observation) {
    return executionsOf(observation.ids());
  }

  private long executionCount(List<String> ids) {
    return executionsOf(ids).stream().mapToLong(Execution::times).sum();
  }

  private List<Execution> executionsOf(List<String> ids) {
    return ids.stream().flatMap(id -> executions.getOrDefault(id, List.of()).stream()).toList();
  }

  private void add(Violation.Kind kind, Observation observation, String detail) {
    PlannedRequest request = observation.request();
    violations.add(
        new Violation(
            kind,
            request.index(),
            request.service().name(),
            List.copyOf(observation.ids()),
            detail));
  }
}
