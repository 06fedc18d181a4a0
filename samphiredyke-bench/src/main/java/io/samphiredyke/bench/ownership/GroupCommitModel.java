package io.samphiredyke.bench.ownership;

import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;

/**
 * Added latency of group commits on a log that takes a limited number of appends a second.
 *
 * <p>Each host has one append under way and gathers further intents meanwhile. Appends are served
 * in order of arrival.
 */
final class GroupCommitModel {

  private static final double MICROS_PER_SECOND = 1e6;
  private static final double ROUND_TRIP_MICROS = 1_000;

  /** How long after its due time a missing answer is noticed, before the log is read. */
  private static final double LOST_RESPONSE_TIMEOUT_MICROS = 1e6;

  private static final double TIME_TOLERANCE_MICROS = 1;

  private final int hosts;
  private final double requestsPerHostMicro;
  private final double serviceMicros;
  private final double lostResponseRate;
  private final RandomGenerator random;

  GroupCommitModel(
      int hosts,
      double requestsPerSecond,
      double appendsPerSecond,
      double lostAnswers,
      RandomGenerator random) {
    this.hosts = hosts;
    this.requestsPerHostMicro = requestsPerSecond / hosts / MICROS_PER_SECOND;
    this.serviceMicros = MICROS_PER_SECOND / appendsPerSecond;
    this.lostResponseRate = lostAnswers;
    this.random = random;
  }

  /**
   * Runs for a time.
   *
   * @param seconds length of the run
   * @return latencies in microseconds
   */
  Histogram run(double seconds) {
    Histogram latencies = new Histogram(3);
    double[] nextArrival = new double[hosts];
    double[] readyAt = new double[hosts];
    for (int host = 0; host < hosts; host++) {
      nextArrival[host] = random.nextExponential() / requestsPerHostMicro;
    }
    double end = seconds * MICROS_PER_SECOND;
    double serverFree = 0;
    while (true) {
      int host = nextHost(nextArrival, readyAt);
      double sent = Math.max(nextArrival[host], readyAt[host]);
      if (sent > end) {
        return latencies;
      }
      double start = Math.max(serverFree, sent + ROUND_TRIP_MICROS / 2);
      serverFree = start + serviceMicros;
      double answered = serverFree + ROUND_TRIP_MICROS / 2;
      if (random.nextDouble() < lostResponseRate) {
        answered += LOST_RESPONSE_TIMEOUT_MICROS + ROUND_TRIP_MICROS;
      }
      while (nextArrival[host] <= sent + TIME_TOLERANCE_MICROS) {
        latencies.recordValue((long) Math.max(1, answered - nextArrival[host]));
        nextArrival[host] += random.nextExponential() / requestsPerHostMicro;
      }
      readyAt[host] = answered;
    }
  }

  private int nextHost(double[] nextArrival, double[] readyAt) {
    int best = 0;
    double bestTime = Double.MAX_VALUE;
    for (int host = 0; host < hosts; host++) {
      double time = Math.max(nextArrival[host], readyAt[host]);
      if (time < bestTime) {
        bestTime = time;
        best = host;
      }
    }
    return best;
  }
}
