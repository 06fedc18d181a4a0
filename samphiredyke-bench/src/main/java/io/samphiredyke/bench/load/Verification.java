package io.samphiredyke.bench.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares what callers were told with what the endpoints counted.
 *
 * <p>A request that was told success is lost if no endpoint executed it. While the counts of an
 * endpoint are missing, that can't be told; such requests are counted as unverified.
 */
final class Verification {

  private final EndpointCounts.All counts;
  private final Map<String, List<Execution>> executions = new HashMap<>();
  private final List<Violation> violations = new ArrayList<>();
  private int unverified;

  private record Execution(String endpoint, String dataCentre, long times) {}

  private Verification(EndpointCounts.All counts) {
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

  /** Compares all observations with the counts. */
  static Verification of(List<Observation> observations, EndpointCounts.All counts) {
    Verification verification = new Verification(counts);
    observations.forEach(verification::check);
    return verification;
  }

  List<Violation> violations() {
    return violations;
  }

  /** Returns how many requests were told success without a count that shows their execution. */
  int unverified() {
    return unverified;
  }

  long count(Violation.Kind kind) {
    return violations.stream().filter(violation -> violation.kind() == kind).count();
  }

  private void check(Observation seen) {
    if (seen.outcome() == Outcome.WRONG) {
      add(Violation.Kind.WRONG_ANSWER, seen, seen.reason());
    }
    checkLost(seen);
    checkDoubled(seen);
    checkPlaces(seen);
    checkNotRun(seen);
  }

  private void checkLost(Observation seen) {
    if (!seen.isToldSuccess() || timesOf(seen.ids()) > 0) {
      return;
    }
    if (!counts.missing().isEmpty()) {
      unverified++;
      return;
    }
    add(Violation.Kind.LOST, seen, "no endpoint executed it");
  }

  private void checkDoubled(Observation seen) {
    long times = timesOf(seen.ids());
    if (times > 1) {
      add(Violation.Kind.DOUBLED, seen, "executed " + times + " times: " + placesOf(seen));
    }
  }

  private void checkPlaces(Observation seen) {
    for (Execution execution : executionsOf(seen.ids())) {
      if (!seen.request().service().dataCentres().contains(execution.dataCentre())) {
        add(Violation.Kind.MISPLACED, seen, "executed at " + execution);
      }
    }
  }

  private void checkNotRun(Observation seen) {
    for (String id : seen.notRunIds()) {
      if (timesOf(List.of(id)) > 0) {
        add(Violation.Kind.FALSE_NOT_RUN, seen, id + " was executed: " + placesOf(seen));
      }
    }
  }

  private List<Execution> placesOf(Observation seen) {
    return executionsOf(seen.ids());
  }

  private long timesOf(List<String> ids) {
    return executionsOf(ids).stream().mapToLong(Execution::times).sum();
  }

  private List<Execution> executionsOf(List<String> ids) {
    return ids.stream().flatMap(id -> executions.getOrDefault(id, List.of()).stream()).toList();
  }

  private void add(Violation.Kind kind, Observation seen, String detail) {
    PlannedRequest request = seen.request();
    violations.add(
        new Violation(
            kind, request.index(), request.service().name(), List.copyOf(seen.ids()), detail));
  }
}
