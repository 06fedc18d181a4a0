package io.samphiredyke.core.config;

import java.util.List;
import java.util.Optional;

/**
 * State machine that publishes one record and determines its outcome by reading the log back.
 *
 * <p>After an append whose response was lost, the log is read to its end. Only if the record is not
 * there, it is appended again with the same id, so that it takes effect at most once. Not
 * thread-safe.
 */
public final class PublishAttempt {

  private static final long RETRY_PAUSE_MILLIS = 200;

  private final String recordId;
  private final long deadline;
  private boolean isAppended;
  private boolean mayBeAppended;

  /**
   * Creates an attempt; the caller appends the record first.
   *
   * @param recordId the id of the record
   * @param deadline the time in nanoseconds after which to give up
   */
  public PublishAttempt(String recordId, long deadline) {
    this.recordId = recordId;
    this.deadline = deadline;
  }

  /** Handles the acknowledgement of the append. */
  public PublishDecision appended() {
    isAppended = true;
    mayBeAppended = true;
    return new PublishDecision.Read(0);
  }

  /**
   * Handles a failed append, or one whose response was lost.
   *
   * @param wasSent whether the log may have accepted the record
   * @param now the time in nanoseconds
   */
  public PublishDecision appendFailed(boolean wasSent, long now) {
    mayBeAppended |= wasSent;
    return orGiveUp(new PublishDecision.Read(RETRY_PAUSE_MILLIS), now);
  }

  /**
   * Handles a page that was read from the log.
   *
   * @param page the page
   * @param results the results of applying its records
   * @param now the time in nanoseconds
   */
  public PublishDecision pageRead(LogPage page, List<ApplyResult> results, long now) {
    for (LogEntry entry : page.entries()) {
      ConfigurationRecord record = entry.record();
      if (record != null && record.recordId().equals(recordId)) {
        Optional<PublishDecision> settled = settle(entry.offset(), results);
        if (settled.isPresent()) {
          return settled.get();
        }
      }
    }
    boolean isLost = page.entries().isEmpty() && !isAppended;
    return orGiveUp(isLost ? new PublishDecision.Append() : new PublishDecision.Read(0), now);
  }

  /**
   * Handles a failed read of the log.
   *
   * @param now the time in nanoseconds
   */
  public PublishDecision readFailed(long now) {
    return orGiveUp(new PublishDecision.Read(RETRY_PAUSE_MILLIS), now);
  }

  private PublishDecision orGiveUp(PublishDecision decision, long now) {
    if (now - deadline < 0) {
      return decision;
    }
    return mayBeAppended ? new PublishDecision.Unknown() : new PublishDecision.NotSent();
  }

  private static Optional<PublishDecision> settle(long offset, List<ApplyResult> results) {
    for (ApplyResult result : results) {
      if (result instanceof ApplyResult.Applied applied && applied.offset() == offset) {
        return Optional.of(new PublishDecision.Accepted(offset));
      }
      if (result instanceof ApplyResult.Rejected rejected && rejected.offset() == offset) {
        return Optional.of(new PublishDecision.Rejected(offset, rejected.findings()));
      }
      if (result instanceof ApplyResult.Duplicate duplicate && duplicate.offset() == offset) {
        return Optional.of(settled(duplicate.first()));
      }
    }
    return Optional.empty();
  }

  private static PublishDecision settled(RecordOutcome first) {
    return first.applied()
        ? new PublishDecision.Accepted(first.offset())
        : new PublishDecision.Rejected(first.offset(), List.of());
  }
}
