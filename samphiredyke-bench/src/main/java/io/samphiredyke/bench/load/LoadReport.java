package io.samphiredyke.bench.load;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Results of a load run in the form that is written as JSON.
 *
 * @param seed random seed of the schedule
 * @param requests number of requests
 * @param seconds duration of the run
 * @param tiers results by tier
 * @param total results of all requests
 * @param prefilledTokens prompt tokens processed by the engines
 * @param wastedPrefillTokens prefilled tokens of executions that were cancelled or whose response
 *     was discarded
 * @param violated number of violations by kind
 * @param unverified requests reported as success whose execution no count confirms, while counts
 *     are missing
 * @param missingCounts endpoints whose counts could not be read
 * @param violations violated execution guarantees
 * @param unsuccessful number of unsuccessful requests by reason
 * @param details requests that ended without a correct response
 */
record LoadReport(
    long seed,
    int requests,
    double seconds,
    Map<String, Row> tiers,
    Row total,
    long prefilledTokens,
    long wastedPrefillTokens,
    Map<Violation.Kind, Long> violated,
    int unverified,
    List<String> missingCounts,
    List<Violation> violations,
    Map<String, Integer> unsuccessful,
    List<Detail> details) {

  private static final double NANOS_PER_MILLI = 1e6;

  /**
   * Results of a group of requests; times are in milliseconds.
   *
   * @param offered requests sent
   * @param good requests with a complete and correct response in time
   * @param late requests with a complete and correct response that was late
   * @param refused requests reported as not executed
   * @param unknown requests with an unknown outcome
   * @param failed requests that were executed without a response or with a wrong one
   * @param resumed requests that needed more than one connection
   * @param firstToken times to the first token
   * @param tokenInterval times between tokens
   */
  record Row(
      int offered,
      int good,
      int late,
      int refused,
      int unknown,
      int failed,
      int resumed,
      Times firstToken,
      Times tokenInterval) {

    static Row of(List<Observation> observations) {
      List<Long> firstTokens = new ArrayList<>();
      List<Long> gaps = new ArrayList<>();
      for (Observation observation : observations) {
        if (observation.firstTokenNanos() > 0) {
          firstTokens.add(observation.firstTokenNanos());
        }
        gaps.addAll(observation.tokenGaps());
      }
      return new Row(
          observations.size(),
          count(observations, Outcome.GOOD),
          count(observations, Outcome.LATE),
          count(observations, Outcome.REFUSED),
          count(observations, Outcome.UNKNOWN),
          count(observations, Outcome.FAILED) + count(observations, Outcome.WRONG),
          (int) observations.stream().filter(o -> o.connections() > 1).count(),
          Times.of(firstTokens),
          Times.of(gaps));
    }

    private static int count(List<Observation> observations, Outcome outcome) {
      return (int) observations.stream().filter(o -> o.outcome() == outcome).count();
    }
  }

  /**
   * Request that ended without a correct response.
   *
   * @param request index in the schedule
   * @param service the service
   * @param outcome outcome of the request
   * @param arrival time at which the request was scheduled
   * @param seconds duration of the request
   * @param ids request ids under which the request was sent
   * @param reason description that the caller received
   */
  record Detail(
      int request,
      String service,
      Outcome outcome,
      String arrival,
      double seconds,
      List<String> ids,
      String reason) {

    static Detail of(Observation observation, Instant start) {
      PlannedRequest request = observation.request();
      return new Detail(
          request.index(),
          request.service().name(),
          observation.outcome(),
          start.plusNanos(request.arrivalNanos()).toString(),
          observation.endNanos() / (double) TimeUnit.SECONDS.toNanos(1),
          List.copyOf(observation.ids()),
          observation.reason());
    }
  }

  /**
   * Percentiles of durations in milliseconds; zero if there are none.
   *
   * @param p50 median
   * @param p95 95th percentile
   * @param p99 99th percentile
   */
  record Times(double p50, double p95, double p99) {

    static Times of(List<Long> nanos) {
      Histogram histogram = new Histogram(3);
      nanos.forEach(histogram::recordValue);
      return new Times(at(histogram, 50), at(histogram, 95), at(histogram, 99));
    }

    private static double at(Histogram histogram, double percentile) {
      return histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }
  }

  /**
   * Creates the report of a run.
   *
   * @param start start time of the schedule
   * @param seconds duration of the run
   */
  static LoadReport of(
      long seed,
      Instant start,
      double seconds,
      List<Observation> observations,
      EndpointCounts.Collected counts) {
    Verification verification = Verification.of(observations, counts);
    Map<Violation.Kind, Long> violated = new TreeMap<>();
    for (Violation.Kind kind : Violation.Kind.values()) {
      violated.put(kind, verification.count(kind));
    }
    return new LoadReport(
        seed,
        observations.size(),
        seconds,
        byTier(observations),
        Row.of(observations),
        counts.endpoints().stream().mapToLong(EndpointCounts::prefilledTokens).sum(),
        counts.endpoints().stream().mapToLong(EndpointCounts::wastedPrefillTokens).sum(),
        violated,
        verification.unverified(),
        counts.missing(),
        verification.violations(),
        unsuccessful(observations),
        details(observations, start));
  }

  private static Map<String, Row> byTier(List<Observation> observations) {
    Map<String, List<Observation>> observationsByTier = new TreeMap<>();
    for (Observation observation : observations) {
      String tier = observation.request().service().tier();
      observationsByTier.computeIfAbsent(tier, key -> new ArrayList<>()).add(observation);
    }
    Map<String, Row> rows = new TreeMap<>();
    observationsByTier.forEach((tier, group) -> rows.put(tier, Row.of(group)));
    return rows;
  }

  private static Map<String, Integer> unsuccessful(List<Observation> observations) {
    Map<String, Integer> reasons = new TreeMap<>();
    for (Observation observation : observations) {
      if (!observation.reason().isEmpty()) {
        String service = observation.request().service().name();
        reasons.merge(service + ": " + observation.reason(), 1, Integer::sum);
      }
    }
    return reasons;
  }

  private static List<Detail> details(List<Observation> observations, Instant start) {
    return observations.stream()
        .filter(observation -> !observation.reason().isEmpty())
        .map(observation -> Detail.of(observation, start))
        .toList();
  }

  boolean isClean() {
    return violations.isEmpty();
  }
}
