package io.samphiredyke.cli.publish;

import io.samphiredyke.core.config.ApplyResult;
import io.samphiredyke.core.config.ConfigurationRecord;
import io.samphiredyke.core.config.LogPage;
import io.samphiredyke.core.config.PublishAttempt;
import io.samphiredyke.core.config.PublishDecision;
import java.util.List;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/** Publishes a record to the log by executing the decisions of a {@link PublishAttempt}. */
public final class Publisher {

  private static final long READ_WAIT_MILLIS = 500;

  private final ConfigurationLog log;
  private final LogReader reader;
  private final LongSupplier nanoTime;
  private final LongConsumer sleepMillis;
  private LogPage lastPage = new LogPage(0, 0, List.of());
  private List<ApplyResult> lastResults = List.of();
  private String lastFailure = "";

  /**
   * Creates a publisher.
   *
   * @param log the log
   * @param nanoTime the monotonic clock, in nanoseconds
   * @param sleepMillis sleeps for a number of milliseconds
   */
  public Publisher(ConfigurationLog log, LongSupplier nanoTime, LongConsumer sleepMillis) {
    this.log = log;
    this.nanoTime = nanoTime;
    this.sleepMillis = sleepMillis;
    this.reader =
        new LogReader(
            log,
            (page, results) -> {
              lastPage = page;
              lastResults = results;
            });
  }

  /** Returns the reader of the log. */
  public LogReader reader() {
    return reader;
  }

  /** Returns the message of the last log failure, empty if there was none. */
  public String lastFailure() {
    return lastFailure;
  }

  /**
   * Publishes a record and determines its outcome.
   *
   * @param record the record
   * @param deadline the time of the monotonic clock at which to give up, in nanoseconds
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
      return attempt.appendFailed(e.mayHaveTakenEffect(), nanoTime.getAsLong());
    }
  }

  private PublishDecision read(PublishAttempt attempt, PublishDecision.Read read) {
    if (read.pauseMillis() > 0) {
      sleepMillis.accept(read.pauseMillis());
    }
    try {
      reader.readPage(READ_WAIT_MILLIS);
      return attempt.pageRead(lastPage, lastResults, nanoTime.getAsLong());
    } catch (LogUnavailableException e) {
      lastFailure = String.valueOf(e.getMessage());
      return attempt.readFailed(nanoTime.getAsLong());
    }
  }
}
