package io.samphiredyke.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Generates the faults of one run from its seed: bursts of one to four overlapping faults, with
 * pauses between the bursts.
 */
final class FaultPlan {

  private static final int MAX_BURST_FAULTS = 4;

  /** Exclusive upper bound of a fault's target and variant. */
  private static final int SELECTOR_BOUND = 1_000;

  private static final long MIN_FAULT_MILLIS = 300;
  private static final long MAX_FAULT_MILLIS = 5_000;
  private static final long MAX_PAUSE_MILLIS = 3_000;

  /** Maximum time between the starts of two consecutive faults of a burst. */
  private static final long MAX_GAP_MILLIS = 1_500;

  /** Mean time between two faults outside the bursts. */
  private static final long SINGLE_INTERVAL_MILLIS = 5_000;

  private FaultPlan() {}

  /** Generates the faults of a seed that start within a time, in order of start. */
  static List<Fault> generate(long seed, long lengthMillis) {
    SplittableRandom random = new SplittableRandom(seed);
    FaultKind[] kinds = FaultKind.values();
    List<Fault> faults = new ArrayList<>();
    long startMillis = random.nextLong(MAX_PAUSE_MILLIS);
    while (startMillis < lengthMillis) {
      int burstSize = 1 + random.nextInt(MAX_BURST_FAULTS);
      for (int i = 0; i < burstSize && startMillis < lengthMillis; i++) {
        faults.add(
            new Fault(
                startMillis,
                kinds[random.nextInt(FaultKind.BURST_KINDS)],
                random.nextLong(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS),
                random.nextInt(SELECTOR_BOUND),
                random.nextInt(SELECTOR_BOUND)));
        startMillis += random.nextLong(MAX_GAP_MILLIS);
      }
      startMillis += random.nextLong(MAX_PAUSE_MILLIS);
    }
    faults.addAll(generateSingle(seed, lengthMillis));
    faults.sort(Comparator.comparingLong(Fault::startMillis));
    return List.copyOf(faults);
  }

  /** Generates faults of the kinds that bursts do not contain. They overlap with the bursts. */
  private static List<Fault> generateSingle(long seed, long lengthMillis) {
    SplittableRandom random = new SplittableRandom(~seed);
    FaultKind[] kinds = FaultKind.values();
    List<Fault> faults = new ArrayList<>();
    long startMillis = random.nextLong(SINGLE_INTERVAL_MILLIS);
    while (startMillis < lengthMillis) {
      faults.add(
          new Fault(
              startMillis,
              kinds[random.nextInt(FaultKind.BURST_KINDS, kinds.length)],
              random.nextLong(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS),
              random.nextInt(SELECTOR_BOUND),
              random.nextInt(SELECTOR_BOUND)));
      startMillis += random.nextLong(2 * SINGLE_INTERVAL_MILLIS);
    }
    return faults;
  }
}
