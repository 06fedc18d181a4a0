package io.samphiredyke.bench.jmh;

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.openjdk.jmh.results.RunResult;

/** Mean times of a benchmark by its parameter {@code size}, microseconds. */
final class Scores {

  private final Map<String, Double> micros = new HashMap<>();

  Scores(Collection<RunResult> results) {
    for (RunResult result : results) {
      micros.put(result.getParams().getParam("size"), result.getPrimaryResult().getScore());
    }
  }

  /** Returns the time of a size, NaN if it was not measured. */
  double micros(String size) {
    return micros.getOrDefault(size, Double.NaN);
  }

  /** Prints whether a size is within a bound, microseconds, and returns it. */
  boolean isWithin(String size, double bound) {
    boolean isMet = micros(size) <= bound;
    System.out.printf(
        Locale.ROOT,
        "%s %.2f us, bound %.2f us: %s%n",
        size,
        micros(size),
        bound,
        isMet ? "met" : "BROKEN");
    return isMet;
  }
}
