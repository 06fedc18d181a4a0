package io.samphiredyke.bench.jmh;

import java.util.List;

/**
 * Command {@code pool-jmh}: measures time and allocation of one decision of the pool scheduler,
 * with the compiler and collector of the gateway, and checks how they grow.
 */
public final class PoolJmh {

  private static final double BOUND_MICROS = 20;
  private static final double GROWTH_BOUND = 2;
  private static final double FULL_HEAD_BOUND_MICROS = 1_000;

  private PoolJmh() {}

  /**
   * Runs the command.
   *
   * @param args ignored
   * @return the exit status: 0 on success, 1 if a bound is violated
   */
  public static int run(String[] args) {
    return check(
        new Scores(
            JmhRun.run(
                PoolBenchmark.class, "-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")));
  }

  private static int check(Scores scores) {
    int failures = 0;
    double idle = scores.micros("74:0:0");
    for (String size : List.of("74:800:0", "74:800:16", "74:800:1000")) {
      failures += scores.isWithin(size, GROWTH_BOUND * idle) ? 0 : 1;
      failures += scores.isWithin(size, BOUND_MICROS) ? 0 : 1;
    }
    failures += scores.isWithin("300:0:0", GROWTH_BOUND * scores.micros("6:0:0")) ? 0 : 1;
    // A head full of prompt parts may not hold up the event loop.
    for (String size : List.of("3:0:0:4000", "48:0:0:4000", "1000:0:0:4000")) {
      failures += scores.isWithin(size, FULL_HEAD_BOUND_MICROS) ? 0 : 1;
    }
    failures += scores.isWithin("48:0:0:4000", GROWTH_BOUND * scores.micros("3:0:0:4000")) ? 0 : 1;
    return failures == 0 ? 0 : 1;
  }
}
