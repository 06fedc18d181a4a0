package io.samphiredyke.bench.jmh;

import io.samphiredyke.bench.RetainedHeap;
import java.util.List;
import java.util.Locale;

/**
 * Command {@code path-jmh}: measures time and allocation of one decision of the pool scheduler
 * while hosts are cut off, with the compiler and collector of the gateway, then its messages and
 * its heap while 100 of 300 hosts lose their paths to 1,000 endpoints at once.
 */
public final class PathJmh {

  private static final double BOUND_MICROS = 20;
  private static final double GROWTH_BOUND = 2;
  private static final String SMALLEST = "300:69:0:0:0";
  private static final List<String> SIZES =
      List.of(
          "300:69:60:0:0",
          "300:300:0:0:0",
          "300:300:100:0:0",
          "1000:69:0:0:0",
          "1000:69:60:0:0",
          "1000:300:0:0:0",
          "1000:300:100:0:0",
          "1000:300:100:0:20",
          "1000:300:100:200:0");
  private static final String ZONE = "1000:300:100:0:0";
  private static final int CUT_SECOND = 3;
  private static final int LAST_SECOND = 40;
  private static final double BYTES_PER_KILOBYTE = 1_024;

  private PathJmh() {}

  /**
   * Runs the command.
   *
   * @param args ignored
   * @return the exit status: 0 on success, 1 if a bound is violated
   */
  public static int run(String[] args) {
    Scores scores =
        new Scores(
            JmhRun.run(
                PathBenchmark.class, "-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    int failures = 0;
    for (String size : SIZES) {
      failures += scores.isWithin(size, BOUND_MICROS) ? 0 : 1;
      failures += scores.isWithin(size, GROWTH_BOUND * scores.micros(SMALLEST)) ? 0 : 1;
    }
    printZone();
    printAllPairs();
    return failures == 0 ? 0 : 1;
  }

  private static void printAllPairs() {
    CutHosts run = CutHosts.parse(ZONE);
    run.start();
    long before = RetainedHeap.bytes(run.scheduler());
    run.failEverywhere();
    long after = RetainedHeap.bytes(run.scheduler());
    System.out.printf(
        Locale.ROOT,
        "%s each host failed at each endpoint: %,.0f KB more%n",
        ZONE,
        (after - before) / BYTES_PER_KILOBYTE);
  }

  private static void printZone() {
    CutHosts run = CutHosts.parse(ZONE);
    run.cutAtSecond(CUT_SECOND);
    run.start();
    int before = run.messages();
    for (int second = 1; second <= LAST_SECOND; second++) {
      run.runUntilSecond(second);
      if (second <= 2 * CUT_SECOND || second % 10 == 0) {
        System.out.printf(
            Locale.ROOT,
            "%s second %d: %,d messages, %,.0f KB%n",
            ZONE,
            second,
            run.messages() - before,
            RetainedHeap.bytes(run.scheduler()) / BYTES_PER_KILOBYTE);
      }
      before = run.messages();
    }
  }
}
