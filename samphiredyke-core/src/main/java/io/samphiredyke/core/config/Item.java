package io.samphiredyke.core.config;

/**
 * A configuration item: an immutable value with a name that is unique within its kind.
 *
 * @see ItemValidator
 */
public sealed interface Item
    permits Tier, DataCentre, Customer, Service, Endpoint, Placement, Defaults {

  /** Returns the name, unique within the kind. */
  String name();

  /** Returns the kind of this item. */
  ItemKind itemKind();

  /** Returns the key of this item. */
  default ItemKey key() {
    return new ItemKey(itemKind(), name());
  }
}
