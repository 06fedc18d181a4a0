package io.samphiredyke.bench.jmh;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.openjdk.jmh.results.RunResult;

/**
 * Command {@code pool-jmh}: measures time and allocation of one decision of the pool scheduler,
 * with the compiler and collector of the gateway, and checks how they grow.
 */
public final class PoolJmh {

  private static final double BOUND_MICROS = 20;
  private static final double GROWTH_BOUND = 2;

  private PoolJmh() {}

  /**
   * Runs the command.
   *
   * @param args ignored
   * @return the exit status: 0 on success, 1 if a bound is violated
   */
  public static int run(String[] args) {
    return check(
        JmhRun.run(PoolBenchmark.class, "-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
  }

  private static int check(Collection<RunResult> results) {
    Map<String, Double> micros = new HashMap<>();
    for (RunResult result : results) {
      micros.put(result.getParams().getParam("size"), result.getPrimaryResult().getScore());
    }
    int failures = 0;
    double idle = value(micros, "74:0:0");
    for (String size : List.of("74:800:0", "74:800:16", "74:800:1000")) {
      failures += isWithin(size, micros, GROWTH_BOUND * idle) ? 0 : 1;
      failures += isWithin(size, micros, BOUND_MICROS) ? 0 : 1;
    }
    failures += isWithin("300:0:0", micros, GROWTH_BOUND * value(micros, "6:0:0")) ? 0 : 1;
    return failures == 0 ? 0 : 1;
  }

  private static double value(Map<String, Double> micros, String size) {
    return micros.getOrDefault(size, Double.NaN);
  }

  private static boolean isWithin(String size, Map<String, Double> micros, double bound) {
    boolean isMet = value(micros, size) <= bound;
    System.out.printf(
        Locale.ROOT,
        "%s %.2f us, bound %.2f us: %s%n",
        size,
        value(micros, size),
        bound,
        isMet ? "met" : "BROKEN");
    return isMet;
  }
}
