package io.samphiredyke.core.membership.internal;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Random sampling without replacement. */
final class Sampling {

  private Sampling() {}

  /** Chooses distinct elements at random, fewer if the list is shorter. */
  static <T> List<T> choose(List<T> from, int count, RandomGenerator random) {
    int size = Math.min(count, from.size());
    Set<Integer> indexes = new HashSet<>();
    List<T> chosen = new ArrayList<>(size);
    while (chosen.size() < size) {
      int index = random.nextInt(from.size());
      if (indexes.add(index)) {
        chosen.add(from.get(index));
      }
    }
    return chosen;
  }
}
