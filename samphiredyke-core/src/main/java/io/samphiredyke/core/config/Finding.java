package io.samphiredyke.core.config;

/**
 * A fault of an item, with the field where it is.
 *
 * @param item the item
 * @param field the name of the faulty field, empty if the fault is of the item as a whole
 * @param code the kind of fault
 * @param message what is wrong, for an operator
 */
public record Finding(ItemKey item, String field, Code code, String message) {

  /** The kinds of faults. */
  public enum Code {
    /** A value is missing, malformed or out of range. */
    INVALID_VALUE,
    /** The base version is not the version in force. */
    STALE_BASE,
    /** A reference names an item that does not exist. */
    MISSING_REFERENCE,
    /** A value that must be unique is used twice. */
    DUPLICATE,
    /** The record as a whole is malformed. */
    MALFORMED_RECORD
  }

  @Override
  public String toString() {
    return item + (field.isEmpty() ? "" : "." + field) + ": " + message;
  }
}
