package io.samphiredyke.cli.publish;

import io.samphiredyke.cli.publish.ConfigurationLog.ExpiredException;
import io.samphiredyke.core.config.ApplyResult;
import io.samphiredyke.core.config.Configuration;
import io.samphiredyke.core.config.LogPage;
import io.samphiredyke.core.config.LogReplay;
import java.util.List;
import java.util.function.BiConsumer;

/** Reads the log from its oldest record on and keeps the state that it leads to. */
public final class LogTail {

  private final ConfigurationLog log;
  private final LogReplay replay = new LogReplay();
  private final BiConsumer<LogPage, List<ApplyResult>> observer;

  /**
   * Creates a tail that has read nothing.
   *
   * @param log the log
   * @param observer takes each page with what its records did
   */
  public LogTail(ConfigurationLog log, BiConsumer<LogPage, List<ApplyResult>> observer) {
    this.log = log;
    this.observer = observer;
  }

  /**
   * Reads to the end of the log.
   *
   * @throws LogUnavailableException if the log can't be read, or its old records are gone and no
   *     snapshot covers them
   */
  public void readToEnd() throws LogUnavailableException {
    while (true) {
      if (readPage(0).entries().isEmpty()) {
        break;
      }
    }
    if (!replay.isComplete()) {
      throw new LogUnavailableException(
          "the log has dropped old records and holds no complete snapshot of them yet", false);
    }
  }

  /**
   * Reads a page, stepping over records that the log no longer has.
   *
   * @param waitMillis how long the log may hold back an empty page, in milliseconds
   * @return the page
   * @throws LogUnavailableException if the log can't be read
   */
  public LogPage readPage(long waitMillis) throws LogUnavailableException {
    while (true) {
      try {
        LogPage page = log.read(replay.pollOffset(), waitMillis);
        observer.accept(page, replay.accept(page));
        return page;
      } catch (ExpiredException e) {
        replay.expired(e.first());
      }
    }
  }

  /** Returns the configuration in force as far as it was read. */
  public Configuration configuration() {
    return replay.configuration();
  }
}
