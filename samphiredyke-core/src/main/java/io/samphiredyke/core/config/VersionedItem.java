package io.samphiredyke.core.config;

/**
 * An item with the record that last changed it.
 *
 * @param item the item
 * @param version one more than the log offset of the record that last changed the item
 * @param author who published that record
 * @param timeMillis when it was published, in milliseconds since 1970 by the publisher's clock
 */
public record VersionedItem(Item item, long version, String author, long timeMillis) {

  /** The version of an item that does not exist. */
  public static final long ABSENT = 0;
}
