package io.samphiredyke.core.config;

import java.util.List;

/** Action that the driver of a {@link LogFollower} must carry out. */
public sealed interface FollowerDecision {

  /**
   * Read a page of the log and report the result.
   *
   * @param from the offset of the first record
   * @param maxRecords the largest number of records
   * @param waitMillis how long the log may wait for records before it returns an empty page (long
   *     polling), in milliseconds
   * @param timeoutMillis the timeout of the attempt, in milliseconds
   */
  record PollLog(long from, int maxRecords, long waitMillis, long timeoutMillis)
      implements FollowerDecision {}

  /**
   * Ask a random peer for records or a snapshot.
   *
   * @param from the offset of the first record that is missing here
   */
  record AskPeer(long from) implements FollowerDecision {}

  /**
   * Append the chunks of a snapshot to the log in order; stop at the first failure.
   *
   * @param records the chunks
   */
  record AppendSnapshot(List<ConfigurationRecord> records) implements FollowerDecision {}

  /**
   * Activate a configuration.
   *
   * @param configuration the configuration
   * @param results the results of the records that produced it; empty if a snapshot did
   */
  record Activate(Configuration configuration, List<ApplyResult> results)
      implements FollowerDecision {}

  /**
   * Publish a new readiness.
   *
   * @param readiness the new readiness
   */
  record ChangeReadiness(Readiness readiness) implements FollowerDecision {}

  /** Whether the configuration is complete enough to accept requests. */
  enum Readiness {
    /** The log was not yet read to its end. */
    CATCHING_UP,
    /** The log was read to its end, but older records were deleted and no snapshot covers them. */
    NO_SNAPSHOT,
    /** The configuration is known; it remains in use during outages of the log. */
    READY
  }
}
