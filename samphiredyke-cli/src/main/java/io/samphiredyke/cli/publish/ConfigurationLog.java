package io.samphiredyke.cli.publish;

import io.samphiredyke.core.config.ConfigurationRecord;
import io.samphiredyke.core.config.LogPage;

/** Client of the configuration stream in the log service. */
public interface ConfigurationLog {

  /**
   * Appends a record.
   *
   * @param record the record
   * @return the offset of the record
   * @throws LogUnavailableException if the log does not respond or rejects the request
   */
  long append(ConfigurationRecord record) throws LogUnavailableException;

  /**
   * Reads a page of records.
   *
   * @param from the offset of the first record
   * @param waitMillis how long the log may wait for new records (long poll), in milliseconds
   * @return the page
   * @throws RecordsExpiredException if the log no longer retains the first record
   * @throws LogUnavailableException if the log does not respond or rejects the request
   */
  LogPage read(long from, long waitMillis) throws RecordsExpiredException, LogUnavailableException;

  /** Thrown when the log no longer retains the requested records. */
  final class RecordsExpiredException extends Exception {

    private static final long serialVersionUID = 1L;

    private final long oldestOffset;

    /**
     * Creates the exception.
     *
     * @param oldestOffset the offset of the oldest record that the log retains
     */
    public RecordsExpiredException(long oldestOffset) {
      super("the log retains records only from offset " + oldestOffset + " on");
      this.oldestOffset = oldestOffset;
    }

    /** Returns the offset of the oldest record that the log retains. */
    public long oldestOffset() {
      return oldestOffset;
    }
  }
}
