package io.samphiredyke.core.path;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map that drops its oldest entry when it is full. */
final class BoundedMap<K, V> extends LinkedHashMap<K, V> {

  private static final long serialVersionUID = 1;

  private final int capacity;

  BoundedMap(int capacity) {
    this.capacity = capacity;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > capacity;
  }
}
