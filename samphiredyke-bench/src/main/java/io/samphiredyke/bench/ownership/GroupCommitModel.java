package io.samphiredyke.bench.ownership;

import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;

/**
 * Model of the latency added by group commits to a log with a limited append rate.
 *
 * <p>Each host has at most one append in progress and batches further intents until it completes.
 * The log serves appends in order of arrival.
 */
final class GroupCommitModel {

  private static final double MICROS_PER_SECOND = 1e6;
  private static final double ROUND_TRIP_MICROS = 1_000;

  /** Time after which a missing response is detected and the log is read. */
  private static final double LOST_RESPONSE_TIMEOUT_MICROS = 1e6;

  private static final double TIME_TOLERANCE_MICROS = 1;

  private final int hosts;
  private final double requestsPerHostMicro;
  private final double appendMicros;
  private final double lostResponseRate;
  private final RandomGenerator random;

  GroupCommitModel(
      int hosts,
      double requestsPerSecond,
      double appendsPerSecond,
      double lostResponseRate,
      RandomGenerator random) {
    this.hosts = hosts;
    this.requestsPerHostMicro = requestsPerSecond / hosts / MICROS_PER_SECOND;
    this.appendMicros = MICROS_PER_SECOND / appendsPerSecond;
    this.lostResponseRate = lostResponseRate;
    this.random = random;
  }

  /**
   * Simulates the log for the given time.
   *
   * @param seconds simulated time
   * @return latencies of the intents, in microseconds
   */
  Histogram run(double seconds) {
    Histogram latencies = new Histogram(3);
    double[] nextArrival = new double[hosts];
    double[] readyAt = new double[hosts];
    for (int host = 0; host < hosts; host++) {
      nextArrival[host] = random.nextExponential() / requestsPerHostMicro;
    }
    double endAt = seconds * MICROS_PER_SECOND;
    double logFreeAt = 0;
    while (true) {
      int host = nextHost(nextArrival, readyAt);
      double sentAt = Math.max(nextArrival[host], readyAt[host]);
      if (sentAt > endAt) {
        return latencies;
      }
      double startAt = Math.max(logFreeAt, sentAt + ROUND_TRIP_MICROS / 2);
      logFreeAt = startAt + appendMicros;
      double respondedAt = logFreeAt + ROUND_TRIP_MICROS / 2;
      if (random.nextDouble() < lostResponseRate) {
        respondedAt += LOST_RESPONSE_TIMEOUT_MICROS + ROUND_TRIP_MICROS;
      }
      while (nextArrival[host] <= sentAt + TIME_TOLERANCE_MICROS) {
        latencies.recordValue((long) Math.max(1, respondedAt - nextArrival[host]));
        nextArrival[host] += random.nextExponential() / requestsPerHostMicro;
      }
      readyAt[host] = respondedAt;
    }
  }

  private int nextHost(double[] nextArrival, double[] readyAt) {
    int selected = 0;
    double earliestTime = Double.MAX_VALUE;
    for (int host = 0; host < hosts; host++) {
      double time = Math.max(nextArrival[host], readyAt[host]);
      if (time < earliestTime) {
        earliestTime = time;
        selected = host;
      }
    }
    return selected;
  }
}
