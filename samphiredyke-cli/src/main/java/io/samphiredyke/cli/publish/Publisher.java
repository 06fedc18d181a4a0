package io.samphiredyke.cli.publish;

import io.samphiredyke.core.config.ApplyResult;
import io.samphiredyke.core.config.ConfigurationRecord;
import io.samphiredyke.core.config.LogPage;
import io.samphiredyke.core.config.PublishAttempt;
import io.samphiredyke.core.config.PublishDecision;
import java.util.List;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/** Carries out a {@link PublishAttempt} on a log. */
public final class Publisher {

  private static final long READ_WAIT_MILLIS = 500;

  private final ConfigurationLog log;
  private final LogTail tail;
  private final LongSupplier nanoTime;
  private final LongConsumer pause;
  private LogPage lastPage = new LogPage(0, 0, List.of());
  private List<ApplyResult> lastResults = List.of();
  private String lastFailure = "";

  /**
   * Creates a publisher.
   *
   * @param log the log
   * @param nanoTime the time in nanoseconds
   * @param pause waits for a number of milliseconds
   */
  public Publisher(ConfigurationLog log, LongSupplier nanoTime, LongConsumer pause) {
    this.log = log;
    this.nanoTime = nanoTime;
    this.pause = pause;
    this.tail =
        new LogTail(
            log,
            (page, results) -> {
              lastPage = page;
              lastResults = results;
            });
  }

  /** Returns the log as far as it was read. */
  public LogTail tail() {
    return tail;
  }

  /** Returns the last failure of the log, for messages; empty if there was none. */
  public String lastFailure() {
    return lastFailure;
  }

  /**
   * Publishes a record and settles what became of it.
   *
   * @param record the record
   * @param deadline the time in nanoseconds after which to give up
   * @return the outcome: accepted, rejected, unknown or not sent
   */
  public PublishDecision publish(ConfigurationRecord record, long deadline) {
    PublishAttempt attempt = new PublishAttempt(record.recordId(), deadline);
    PublishDecision decision = new PublishDecision.Append();
    while (true) {
      if (decision instanceof PublishDecision.Append) {
        decision = append(attempt, record);
      } else if (decision instanceof PublishDecision.Read read) {
        decision = read(attempt, read);
      } else {
        return decision;
      }
    }
  }

  private PublishDecision append(PublishAttempt attempt, ConfigurationRecord record) {
    try {
      log.append(record);
      return attempt.appended();
    } catch (LogUnavailableException e) {
      lastFailure = String.valueOf(e.getMessage());
      return attempt.appendFailed(e.wasSent(), nanoTime.getAsLong());
    }
  }

  private PublishDecision read(PublishAttempt attempt, PublishDecision.Read read) {
    if (read.pauseMillis() > 0) {
      pause.accept(read.pauseMillis());
    }
    try {
      tail.readPage(READ_WAIT_MILLIS);
      return attempt.pageRead(lastPage, lastResults, nanoTime.getAsLong());
    } catch (LogUnavailableException e) {
      lastFailure = String.valueOf(e.getMessage());
      return attempt.readFailed(nanoTime.getAsLong());
    }
  }
}
