package io.samphiredyke.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The faults of one run, drawn from its seed: series of one to four faults that overlap, with some
 * calm between the series.
 */
final class Plan {

  private static final int MAX_SERIES = 4;
  private static final int TARGETS = 1_000;
  private static final long MIN_FAULT_MILLIS = 300;
  private static final long MAX_FAULT_MILLIS = 5_000;
  private static final long MAX_CALM_MILLIS = 3_000;

  /** Longest distance of two faults of one series. */
  private static final long MAX_GAP_MILLIS = 1_500;

  private Plan() {}

  /** Draws the faults of a seed that begin within a time, in order. */
  static List<Fault> of(long seed, long lengthMillis) {
    SplittableRandom random = new SplittableRandom(seed);
    FaultKind[] kinds = FaultKind.values();
    List<Fault> faults = new ArrayList<>();
    long at = random.nextLong(MAX_CALM_MILLIS);
    while (at < lengthMillis) {
      int series = 1 + random.nextInt(MAX_SERIES);
      for (int i = 0; i < series && at < lengthMillis; i++) {
        faults.add(
            new Fault(
                at,
                kinds[random.nextInt(kinds.length)],
                random.nextLong(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS),
                random.nextInt(TARGETS),
                random.nextInt(TARGETS)));
        at += random.nextLong(MAX_GAP_MILLIS);
      }
      at += random.nextLong(MAX_CALM_MILLIS);
    }
    faults.sort(Comparator.comparingLong(Fault::atMillis));
    return List.copyOf(faults);
  }
}
