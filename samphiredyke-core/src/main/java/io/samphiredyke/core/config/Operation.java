package io.samphiredyke.core.config;

/** What a change does to an item. */
public enum Operation {
  /** Creates or replaces the item. */
  PUT,
  /** Removes the item. */
  DELETE
}
