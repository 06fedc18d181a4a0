package io.samphiredyke.core.config;

import java.util.Collection;
import java.util.Optional;

/** Finds the name that was probably meant by a misspelt one. */
public final class NameSuggestions {

  private static final int MAX_DISTANCE = 3;

  private NameSuggestions() {}

  /**
   * Returns the closest candidate, if one is close.
   *
   * @param given the misspelt name
   * @param candidates the known names
   */
  public static Optional<String> closest(String given, Collection<String> candidates) {
    String best = null;
    int bestDistance = Math.min(MAX_DISTANCE, given.length() / 2) + 1;
    for (String candidate : candidates) {
      int distance = distance(given, candidate);
      if (distance < bestDistance) {
        best = candidate;
        bestDistance = distance;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns the Levenshtein distance. */
  private static int distance(String left, String right) {
    int[] previous = new int[right.length() + 1];
    for (int j = 0; j <= right.length(); j++) {
      previous[j] = j;
    }
    for (int i = 1; i <= left.length(); i++) {
      int[] current = new int[right.length() + 1];
      current[0] = i;
      for (int j = 1; j <= right.length(); j++) {
        int replaced = previous[j - 1] + (left.charAt(i - 1) == right.charAt(j - 1) ? 0 : 1);
        current[j] = Math.min(replaced, Math.min(previous[j], current[j - 1]) + 1);
      }
      previous = current;
    }
    return previous[right.length()];
  }
}
