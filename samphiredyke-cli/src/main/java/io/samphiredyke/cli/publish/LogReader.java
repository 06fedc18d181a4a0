package io.samphiredyke.cli.publish;

import io.samphiredyke.cli.publish.ConfigurationLog.RecordsExpiredException;
import io.samphiredyke.core.config.ApplyResult;
import io.samphiredyke.core.config.Configuration;
import io.samphiredyke.core.config.LogPage;
import io.samphiredyke.core.config.LogReplay;
import java.util.List;
import java.util.function.BiConsumer;

/** Reads the log from its oldest record and maintains the resulting configuration. */
public final class LogReader {

  private final ConfigurationLog log;
  private final LogReplay replay = new LogReplay();
  private final BiConsumer<LogPage, List<ApplyResult>> observer;

  /**
   * Creates a reader at the start of the log.
   *
   * @param log the log
   * @param observer receives each page with the results of applying its records
   */
  public LogReader(ConfigurationLog log, BiConsumer<LogPage, List<ApplyResult>> observer) {
    this.log = log;
    this.observer = observer;
  }

  /**
   * Reads to the end of the log.
   *
   * @throws LogUnavailableException if the log can't be read, or old records have been deleted and
   *     no complete snapshot covers them
   */
  public void readToEnd() throws LogUnavailableException {
    while (true) {
      if (readPage(0).entries().isEmpty()) {
        break;
      }
    }
    if (!replay.isComplete()) {
      throw new LogUnavailableException(
          "the log has deleted old records and contains no complete snapshot of them yet", false);
    }
  }

  /**
   * Reads the next page, skipping records that the log no longer retains.
   *
   * @param waitMillis how long the log may wait for new records (long poll), in milliseconds
   * @return the page
   * @throws LogUnavailableException if the log can't be read
   */
  public LogPage readPage(long waitMillis) throws LogUnavailableException {
    while (true) {
      try {
        LogPage page = log.read(replay.pollOffset(), waitMillis);
        observer.accept(page, replay.accept(page));
        return page;
      } catch (RecordsExpiredException e) {
        replay.offsetOutOfRange(e.oldestOffset());
      }
    }
  }

  /** Returns the configuration as of the last page read. */
  public Configuration configuration() {
    return replay.configuration();
  }
}
