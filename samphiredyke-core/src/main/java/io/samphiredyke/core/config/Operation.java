package io.samphiredyke.core.config;

/** Operation of a change on an item. */
public enum Operation {
  /** Creates or replaces the item. */
  PUT,
  /** Removes the item. */
  DELETE
}
