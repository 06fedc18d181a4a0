package io.samphiredyke.soak;

import java.util.Locale;

/**
 * One fault of a plan.
 *
 * @param atMillis when it begins, from the start of the plan
 * @param kind what happens
 * @param forMillis how long it lasts, where it lasts
 * @param target a number from which the thing that is hit follows
 * @param variant a number from which the way of the fault follows
 */
record Fault(long atMillis, FaultKind kind, long forMillis, int target, int variant) {

  /** Returns one of some choices by the variant. */
  <T> T choose(T[] choices) {
    return choices[Math.floorMod(variant, choices.length)];
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "%6.2f s %s for %.2f s, target %d, variant %d",
        atMillis / 1e3,
        kind,
        forMillis / 1e3,
        target,
        variant);
  }
}
