package io.samphiredyke.core.membership.internal;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Random choices from lists. */
final class Sampling {

  private Sampling() {}

  /** Chooses distinct elements, fewer if the list is shorter. */
  static <T> List<T> choose(List<T> from, int count, RandomGenerator random) {
    int size = Math.min(count, from.size());
    Set<Integer> places = new HashSet<>();
    List<T> chosen = new ArrayList<>(size);
    while (chosen.size() < size) {
      int place = random.nextInt(from.size());
      if (places.add(place)) {
        chosen.add(from.get(place));
      }
    }
    return chosen;
  }
}
