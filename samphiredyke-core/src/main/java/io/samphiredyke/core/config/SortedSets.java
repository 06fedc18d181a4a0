package io.samphiredyke.core.config;

import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/** Copies of collections in an order that is the same in every process. */
final class SortedSets {

  private SortedSets() {}

  static <T extends Comparable<T>> Set<T> copyOf(Set<T> values) {
    return Collections.unmodifiableSortedSet(new TreeSet<>(values));
  }
}
