package io.samphiredyke.core.config;

/**
 * A validation error of an item, with the field where it was found.
 *
 * @param item the item
 * @param field the name of the invalid field, empty if the error concerns the item as a whole
 * @param code the kind of error
 * @param message a description of the error for operators
 */
public record Finding(ItemKey item, String field, Code code, String message) {

  /** Kinds of validation errors. */
  public enum Code {
    /** A value is missing, malformed or out of range. */
    INVALID_VALUE,
    /** The base version is not the current version. */
    STALE_BASE,
    /** A reference names an item that does not exist. */
    MISSING_REFERENCE,
    /** A value that must be unique is used more than once. */
    DUPLICATE,
    /** The record as a whole is malformed. */
    MALFORMED_RECORD
  }

  @Override
  public String toString() {
    return item + (field.isEmpty() ? "" : "." + field) + ": " + message;
  }
}
