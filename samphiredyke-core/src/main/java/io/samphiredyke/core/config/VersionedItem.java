package io.samphiredyke.core.config;

/**
 * An item with its version and the author and time of its last change.
 *
 * @param item the item
 * @param version log offset of the record that last changed the item, plus one
 * @param author who published that record
 * @param timeMillis when it was published, in milliseconds since 1970 by the publisher's clock
 */
public record VersionedItem(Item item, long version, String author, long timeMillis) {

  /** The version of an item that does not exist. */
  public static final long ABSENT = 0;
}
