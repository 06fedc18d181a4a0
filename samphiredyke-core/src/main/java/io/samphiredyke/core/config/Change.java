package io.samphiredyke.core.config;

import org.jspecify.annotations.Nullable;

/**
 * A change of one item. It is applied only if the item still has the version that the change is
 * based on (optimistic concurrency control).
 *
 * @param kind the kind of the item
 * @param name the name of the item
 * @param operation whether the item is put or deleted
 * @param baseVersion the version that the change is based on; {@link VersionedItem#ABSENT} if the
 *     item did not exist
 * @param value the new item for {@link Operation#PUT}, null for {@link Operation#DELETE}
 */
public record Change(
    ItemKind kind, String name, Operation operation, long baseVersion, @Nullable Item value) {

  /**
   * Returns a change that creates or replaces an item.
   *
   * @param item the new value
   * @param baseVersion the version that the change was based on
   */
  public static Change put(Item item, long baseVersion) {
    return new Change(item.itemKind(), item.name(), Operation.PUT, baseVersion, item);
  }

  /**
   * Returns a change that removes an item.
   *
   * @param key the item
   * @param baseVersion the version that the change was based on
   */
  public static Change delete(ItemKey key, long baseVersion) {
    return new Change(key.kind(), key.name(), Operation.DELETE, baseVersion, null);
  }

  /** Returns the key of the changed item. */
  public ItemKey key() {
    return new ItemKey(kind, name);
  }
}
