package io.samphiredyke.core.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Assigns consecutive indexes to distinct values, so that states can be stored as integers. */
final class Interner<T> {

  private final List<T> values = new ArrayList<>();
  private final Map<T, Integer> indexes = new HashMap<>();

  int indexOf(T value) {
    Integer known = indexes.get(value);
    if (known != null) {
      return known;
    }
    values.add(value);
    indexes.put(value, values.size() - 1);
    return values.size() - 1;
  }

  T value(int index) {
    return values.get(index);
  }

  int size() {
    return values.size();
  }
}
