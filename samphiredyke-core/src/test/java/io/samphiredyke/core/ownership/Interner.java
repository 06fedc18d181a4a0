package io.samphiredyke.core.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Gives each distinct value a small number. */
final class Interner<T> {

  private final List<T> values = new ArrayList<>();
  private final Map<T, Integer> numbers = new HashMap<>();

  int indexOf(T value) {
    Integer known = numbers.get(value);
    if (known != null) {
      return known;
    }
    values.add(value);
    numbers.put(value, values.size() - 1);
    return values.size() - 1;
  }

  T value(int number) {
    return values.get(number);
  }

  int size() {
    return values.size();
  }
}
