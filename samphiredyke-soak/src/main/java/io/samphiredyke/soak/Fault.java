package io.samphiredyke.soak;

import java.util.Locale;

/**
 * One fault of a fault plan.
 *
 * @param startMillis the start of the fault, milliseconds from the start of the plan
 * @param kind the kind of fault
 * @param durationMillis the duration, for kinds that have one
 * @param target selects the affected host or endpoint
 * @param variant selects among the variants of the kind
 */
record Fault(long startMillis, FaultKind kind, long durationMillis, int target, int variant) {

  /** Returns the choice that the variant selects. */
  <T> T choose(T[] choices) {
    return choices[Math.floorMod(variant, choices.length)];
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "%6.2f s %s for %.2f s, target %d, variant %d",
        startMillis / 1e3,
        kind,
        durationMillis / 1e3,
        target,
        variant);
  }
}
