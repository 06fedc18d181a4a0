package io.samphiredyke.cli.publish;

import io.samphiredyke.core.config.ConfigurationRecord;
import io.samphiredyke.core.config.LogPage;

/** The configuration stream of the log service. */
public interface ConfigurationLog {

  /**
   * Appends a record.
   *
   * @param record the record
   * @return its offset
   * @throws LogUnavailableException if no answer came, or a refusal
   */
  long append(ConfigurationRecord record) throws LogUnavailableException;

  /**
   * Reads a page.
   *
   * @param from the offset of the first record
   * @param waitMillis how long the log may hold back an empty page, in milliseconds
   * @return the page
   * @throws ExpiredException if the log no longer has the first record
   * @throws LogUnavailableException if no answer came, or a refusal
   */
  LogPage read(long from, long waitMillis) throws ExpiredException, LogUnavailableException;

  /** Reports that the records asked for are gone. */
  final class ExpiredException extends Exception {

    private static final long serialVersionUID = 1L;

    private final long first;

    /**
     * Creates the exception.
     *
     * @param first the offset of the oldest record that the log keeps
     */
    public ExpiredException(long first) {
      super("the log keeps records from offset " + first + " only");
      this.first = first;
    }

    /** Returns the offset of the oldest record that the log keeps. */
    public long first() {
      return first;
    }
  }
}
