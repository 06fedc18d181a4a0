package io.samphiredyke.core.config;

import java.util.Comparator;

/**
 * Key of a configuration item: its kind and name.
 *
 * @param kind the kind of the item
 * @param name the name of the item, unique within the kind
 */
public record ItemKey(ItemKind kind, String name) implements Comparable<ItemKey> {

  private static final Comparator<ItemKey> ORDER =
      Comparator.comparing(ItemKey::kind).thenComparing(ItemKey::name);

  @Override
  public int compareTo(ItemKey other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return kind.label() + " " + name;
  }
}
