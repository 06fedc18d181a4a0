package io.samphiredyke.bench.jmh;

import java.util.Collection;
import java.util.Locale;
import org.openjdk.jmh.results.RunResult;

/** Command {@code jmh}: measures time and allocation of one decision and checks the time bounds. */
public final class DecisionJmh {

  private static final double BOUND_MICROS = 10;
  private static final double GROWTH_BOUND = 2;

  private DecisionJmh() {}

  /**
   * Runs the command.
   *
   * @param args ignored
   * @return the exit status: 0 on success, 1 if a bound is violated
   */
  public static int run(String[] args) {
    return check(JmhRun.run(DecisionBenchmark.class, "-Xmx512m"));
  }

  private static int check(Collection<RunResult> results) {
    int failures = 0;
    for (RunResult result : results) {
      String name = result.getParams().getBenchmark();
      double micros = result.getPrimaryResult().getScore();
      double bound = isLarge(result) ? GROWTH_BOUND * BOUND_MICROS : BOUND_MICROS;
      boolean isMet = micros <= bound;
      failures += isMet ? 0 : 1;
      System.out.printf(
          Locale.ROOT,
          "%s %s %.2f us, bound %.0f us: %s%n",
          name.substring(name.lastIndexOf('.') + 1),
          result.getParams().getParam("size"),
          micros,
          bound,
          isMet ? "met" : "BROKEN");
    }
    return failures == 0 ? 0 : 1;
  }

  private static boolean isLarge(RunResult result) {
    return !result.getParams().getParam("size").startsWith("9:");
  }
}
