package io.samphiredyke.core.config;

import java.util.List;

/** What a {@link LogFollower} wants done. */
public sealed interface FollowerDecision {

  /**
   * Read a page of the log and report it.
   *
   * @param from the offset of the first record
   * @param maxRecords the largest number of records
   * @param waitMillis how long the log may hold back an empty page, in milliseconds
   * @param timeoutMillis after which time the attempt has failed, in milliseconds
   */
  record PollLog(long from, int maxRecords, long waitMillis, long timeoutMillis)
      implements FollowerDecision {}

  /**
   * Ask a peer, chosen at random, what it knows.
   *
   * @param from the offset of the first record that is missing here
   */
  record AskPeer(long from) implements FollowerDecision {}

  /**
   * Append the chunks of a snapshot to the log in order, giving up at the first failure.
   *
   * @param records the chunks
   */
  record AppendSnapshot(List<ConfigurationRecord> records) implements FollowerDecision {}

  /**
   * Use a configuration from now on.
   *
   * @param configuration the configuration
   * @param results the results of the records that led to it; empty if a snapshot did
   */
  record Activate(Configuration configuration, List<ApplyResult> results)
      implements FollowerDecision {}

  /**
   * The readiness has changed.
   *
   * @param readiness the new readiness
   */
  record ChangeReadiness(Readiness readiness) implements FollowerDecision {}

  /** Whether the configuration is known well enough to take requests. */
  enum Readiness {
    /** The log has not yet been read, or not to its end. */
    CATCHING_UP,
    /** The log was read to its end, but its older records are gone and no snapshot covers them. */
    NO_SNAPSHOT,
    /** The configuration is known; it stays known during outages of the log. */
    READY
  }
}
