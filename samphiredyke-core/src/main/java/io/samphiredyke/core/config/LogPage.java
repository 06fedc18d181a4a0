package io.samphiredyke.core.config;

import java.util.List;

/**
 * A page of entries read from the log.
 *
 * @param first the offset of the oldest record that the log keeps
 * @param next the offset to read from next
 * @param entries the entries in the order of their offsets
 */
public record LogPage(long first, long next, List<LogEntry> entries) {

  /** Copies the entries. */
  public LogPage {
    entries = List.copyOf(entries);
  }
}
