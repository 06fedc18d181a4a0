package io.samphiredyke.bench.load;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * The results of a load run, as they are printed as JSON.
 *
 * @param seed the seed of the schedule
 * @param requests how many requests were made
 * @param seconds how long the run took
 * @param tiers the results by tier
 * @param total the results of all
 * @param prefilledTokens prompt tokens that the engines computed
 * @param wastedPrefillTokens those of them that came to nothing
 * @param violated the number of violations of each kind
 * @param unverified requests told success of which no count shows that they ran, while counts are
 *     missing
 * @param missingCounts endpoints that gave no counts
 * @param violations the violations
 * @param unsuccessful what callers were told in place of an answer, and how often
 * @param details each request that ended without an answer
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
   * The results of some requests. Times are in milliseconds.
   *
   * @param offered requests made
   * @param good requests with the whole right answer in time
   * @param late requests with the whole right answer, but late
   * @param refused requests told "not run"
   * @param unknown requests of unknown outcome
   * @param failed requests that ran without an answer, or with a wrong one
   * @param resumed requests that took more than one connection
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

    static Row of(List<Observation> seen) {
      List<Long> firstTokens = new ArrayList<>();
      List<Long> gaps = new ArrayList<>();
      for (Observation observation : seen) {
        if (observation.firstTokenNanos() > 0) {
          firstTokens.add(observation.firstTokenNanos());
        }
        gaps.addAll(observation.tokenGaps());
      }
      return new Row(
          seen.size(),
          count(seen, Outcome.GOOD),
          count(seen, Outcome.LATE),
          count(seen, Outcome.REFUSED),
          count(seen, Outcome.UNKNOWN),
          count(seen, Outcome.FAILED) + count(seen, Outcome.WRONG),
          (int) seen.stream().filter(o -> o.connections() > 1).count(),
          Times.of(firstTokens),
          Times.of(gaps));
    }

    private static int count(List<Observation> seen, Outcome outcome) {
      return (int) seen.stream().filter(o -> o.outcome() == outcome).count();
    }
  }

  /**
   * A request that ended without an answer.
   *
   * @param request its number in the schedule
   * @param service the service
   * @param outcome how it ended
   * @param arrival when it was made
   * @param seconds how long it took to end
   * @param ids the request ids used
   * @param reason what the caller was told
   */
  record Detail(
      int request,
      String service,
      Outcome outcome,
      String arrival,
      double seconds,
      List<String> ids,
      String reason) {

    static Detail of(Observation seen, Instant start) {
      PlannedRequest request = seen.request();
      return new Detail(
          request.index(),
          request.service().name(),
          seen.outcome(),
          start.plusNanos(request.arrivalNanos()).toString(),
          seen.endNanos() / (double) TimeUnit.SECONDS.toNanos(1),
          List.copyOf(seen.ids()),
          seen.reason());
    }
  }

  /**
   * Percentiles of times, in milliseconds; zeros if there were none.
   *
   * @param p50 the median
   * @param p95 the 95th percentile
   * @param p99 the 99th percentile
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
   * Sums up a run.
   *
   * @param start when the schedule began
   * @param seconds how long the run took
   */
  static LoadReport of(
      long seed, Instant start, double seconds, List<Observation> seen, EndpointCounts.All counts) {
    Verification verification = Verification.of(seen, counts);
    Map<Violation.Kind, Long> violated = new TreeMap<>();
    for (Violation.Kind kind : Violation.Kind.values()) {
      violated.put(kind, verification.count(kind));
    }
    return new LoadReport(
        seed,
        seen.size(),
        seconds,
        byTier(seen),
        Row.of(seen),
        counts.endpoints().stream().mapToLong(EndpointCounts::prefilledTokens).sum(),
        counts.endpoints().stream().mapToLong(EndpointCounts::wastedPrefillTokens).sum(),
        violated,
        verification.unverified(),
        counts.missing(),
        verification.violations(),
        unsuccessful(seen),
        details(seen, start));
  }

  private static Map<String, Row> byTier(List<Observation> seen) {
    Map<String, List<Observation>> groups = new TreeMap<>();
    for (Observation observation : seen) {
      String tier = observation.request().service().tier();
      groups.computeIfAbsent(tier, key -> new ArrayList<>()).add(observation);
    }
    Map<String, Row> rows = new TreeMap<>();
    groups.forEach((tier, observations) -> rows.put(tier, Row.of(observations)));
    return rows;
  }

  private static Map<String, Integer> unsuccessful(List<Observation> seen) {
    Map<String, Integer> reasons = new TreeMap<>();
    for (Observation observation : seen) {
      if (!observation.reason().isEmpty()) {
        String place = observation.request().service().name();
        reasons.merge(place + ": " + observation.reason(), 1, Integer::sum);
      }
    }
    return reasons;
  }

  private static List<Detail> details(List<Observation> seen, Instant start) {
    return seen.stream()
        .filter(observation -> !observation.reason().isEmpty())
        .map(observation -> Detail.of(observation, start))
        .toList();
  }

  boolean isClean() {
    return violations.isEmpty();
  }
}
