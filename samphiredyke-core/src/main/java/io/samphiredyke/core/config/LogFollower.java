package io.samphiredyke.core.config;

import io.samphiredyke.core.config.FollowerDecision.Activate;
import io.samphiredyke.core.config.FollowerDecision.AppendSnapshot;
import io.samphiredyke.core.config.FollowerDecision.AskPeer;
import io.samphiredyke.core.config.FollowerDecision.ChangeReadiness;
import io.samphiredyke.core.config.FollowerDecision.PollLog;
import io.samphiredyke.core.config.FollowerDecision.Readiness;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * State machine that follows the configuration stream: polls the log, asks peers while the log is
 * unreachable, and appends snapshots before old records are deleted.
 *
 * <p>Each event returns the decisions to carry out. At most one poll is in progress at a time.
 * Late, duplicate and lost responses do no harm. Any node may append a snapshot. A random delay
 * prevents most nodes from doing so at the same time, and redundant snapshots have no effect. Not
 * thread-safe.
 */
public final class LogFollower {

  private static final long NONE = Long.MAX_VALUE;

  private final String host;
  private final LogFollowerOptions options;
  private final RandomGenerator random;
  private final LogReplay replay = new LogReplay();
  private Readiness readiness = Readiness.CATCHING_UP;
  private boolean hasReachedEnd;
  private boolean isPolling;
  private long pollAt;
  private long pollDeadline = NONE;
  private long snapshotAt = NONE;
  private long snapshotBaseOffset = -1;
  private int failures;
  private long snapshotsAppended;

  /**
   * Creates a follower.
   *
   * @param host the name of this host, the author of its snapshots
   * @param options polling, backoff and snapshot options
   * @param random the source of jitter and snapshot ids
   * @param now the current time in nanoseconds
   */
  public LogFollower(String host, LogFollowerOptions options, RandomGenerator random, long now) {
    this.host = host;
    this.options = options;
    this.random = random;
    this.pollAt = now;
  }

  /** Returns the current configuration. */
  public Configuration configuration() {
    return replay.configuration();
  }

  /** Returns whether requests may be accepted. */
  public Readiness readiness() {
    return readiness;
  }

  /** Returns whether records are known to be missing. */
  public boolean isBehind() {
    return replay.hasGap();
  }

  /** Returns how many polls of the log have failed since the last successful one. */
  public int consecutiveFailures() {
    return failures;
  }

  /** Returns how many times an older state was offered and refused. */
  public long refusedRegressions() {
    return replay.refusedRegressions();
  }

  /** Returns how many records could not be decoded. */
  public long undecodableRecords() {
    return replay.undecodable();
  }

  /** Returns how many snapshots this node decided to append. */
  public long snapshotsAppended() {
    return snapshotsAppended;
  }

  /** Returns the latest time in nanoseconds for the next call of {@link #tick}. */
  public long nextTick() {
    return Math.min(isPolling ? pollDeadline : pollAt, snapshotAt);
  }

  /**
   * Starts polls and snapshots that are due, and ends polls that timed out.
   *
   * @param now the time in nanoseconds
   * @param epochMillis the time in milliseconds since 1970, compared with the log's timestamps
   */
  public List<FollowerDecision> tick(long now, long epochMillis) {
    List<FollowerDecision> decisions = new ArrayList<>();
    if (isPolling && now >= pollDeadline) {
      recordPollFailure(now, decisions);
    }
    if (!isPolling && now >= pollAt) {
      poll(now, decisions);
    }
    planSnapshot(now, epochMillis);
    if (now >= snapshotAt) {
      appendSnapshot(epochMillis, decisions);
    }
    return decisions;
  }

  /**
   * Handles a page that was read from the log.
   *
   * @param page the page
   * @param now the time in nanoseconds
   */
  public List<FollowerDecision> pageRead(LogPage page, long now) {
    long before = replay.configuration().nextOffset();
    List<ApplyResult> results = replay.accept(page);
    isPolling = false;
    failures = 0;
    pollAt = now;
    hasReachedEnd |= page.entries().isEmpty();
    List<FollowerDecision> decisions = new ArrayList<>();
    if (replay.hasGap()) {
      decisions.add(new AskPeer(replay.configuration().nextOffset()));
    }
    activate(before, results, decisions);
    poll(now, decisions);
    return decisions;
  }

  /**
   * Handles the response that the log no longer has the requested records.
   *
   * @param first the offset of the oldest record in the log
   * @param now the time in nanoseconds
   */
  public List<FollowerDecision> offsetOutOfRange(long first, long now) {
    replay.offsetOutOfRange(first);
    isPolling = false;
    failures = 0;
    pollAt = now;
    List<FollowerDecision> decisions = new ArrayList<>();
    decisions.add(new AskPeer(replay.configuration().nextOffset()));
    poll(now, decisions);
    return decisions;
  }

  /**
   * Handles the failure of a poll: the log is unreachable, rate-limits this node or is too slow.
   *
   * @param now the time in nanoseconds
   */
  public List<FollowerDecision> pollFailed(long now) {
    List<FollowerDecision> decisions = new ArrayList<>();
    if (isPolling) {
      recordPollFailure(now, decisions);
    }
    return decisions;
  }

  /**
   * Handles the response of a peer.
   *
   * @param response the response
   */
  public List<FollowerDecision> peerResponded(PeerResponse response) {
    long before = replay.configuration().nextOffset();
    boolean wasComplete = replay.isComplete();
    List<ApplyResult> results = replay.accept(response);
    List<FollowerDecision> decisions = new ArrayList<>();
    hasReachedEnd |= !wasComplete && replay.isComplete();
    activate(before, results, decisions);
    return decisions;
  }

  /**
   * Returns the records or the snapshot for a peer; null while this node is not ready itself.
   *
   * @param from the offset of the first record that the peer lacks
   */
  public @Nullable PeerResponse respondToPeer(long from) {
    return readiness == Readiness.READY ? replay.responseFrom(from) : null;
  }

  private void activate(long before, List<ApplyResult> results, List<FollowerDecision> decisions) {
    if (replay.configuration().nextOffset() > before) {
      decisions.add(new Activate(replay.configuration(), results));
    }
    Readiness next = currentReadiness();
    if (next != readiness) {
      readiness = next;
      decisions.add(new ChangeReadiness(next));
    }
  }

  private Readiness currentReadiness() {
    if (readiness == Readiness.READY || (replay.isComplete() && hasReachedEnd)) {
      return Readiness.READY;
    }
    return hasReachedEnd ? Readiness.NO_SNAPSHOT : Readiness.CATCHING_UP;
  }

  private void poll(long now, List<FollowerDecision> decisions) {
    long waitMillis = hasReachedEnd ? options.pollWaitMillis() : 0;
    long timeoutMillis = waitMillis + options.pollGraceMillis();
    isPolling = true;
    pollDeadline = now + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    decisions.add(
        new PollLog(replay.pollOffset(), options.pollRecords(), waitMillis, timeoutMillis));
  }

  private void recordPollFailure(long now, List<FollowerDecision> decisions) {
    isPolling = false;
    failures++;
    pollAt = now + backoffNanos();
    decisions.add(new AskPeer(replay.configuration().nextOffset()));
  }

  private long backoffNanos() {
    int doublings = Math.min(failures - 1, Integer.SIZE - 2);
    long limit = options.minBackoffMillis() << doublings;
    long bounded = Math.min(options.maxBackoffMillis(), limit);
    long millis = options.minBackoffMillis() + random.nextLong(Math.max(1, bounded));
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private void planSnapshot(long now, long epochMillis) {
    if (!isSnapshotDue(epochMillis)) {
      snapshotAt = NONE;
      return;
    }
    boolean isPlanned = snapshotAt != NONE && snapshotBaseOffset == replay.snapshotOffset();
    if (isPlanned) {
      return;
    }
    snapshotBaseOffset = replay.snapshotOffset();
    snapshotAt = now + randomSpreadNanos();
  }

  private long randomSpreadNanos() {
    return TimeUnit.MILLISECONDS.toNanos(
        random.nextLong(Math.max(1, options.snapshotSpreadMillis())));
  }

  private boolean isSnapshotDue(long epochMillis) {
    boolean isUpToDate = readiness == Readiness.READY && !replay.hasGap() && failures == 0;
    if (!isUpToDate || replay.configuration().nextOffset() == ConfigurationState.FIRST_OFFSET) {
      return false;
    }
    long ageMillis = epochMillis - replay.snapshotTimeMillis();
    return replay.changesSinceSnapshot() >= options.snapshotRecords()
        || ageMillis >= options.snapshotIntervalMillis();
  }

  private void appendSnapshot(long epochMillis, List<FollowerDecision> decisions) {
    snapshotAt = NONE;
    snapshotBaseOffset = -1;
    Snapshot snapshot = replay.snapshot();
    if (snapshot == null) {
      return;
    }
    snapshotsAppended++;
    String id = host + "-" + HexFormat.of().toHexDigits(random.nextLong());
    List<ConfigurationRecord> records =
        snapshot.chunks(id, options.snapshotChunkEntries()).stream()
            .map(chunk -> recordOf(chunk, epochMillis))
            .toList();
    decisions.add(new AppendSnapshot(records));
  }

  private ConfigurationRecord recordOf(SnapshotChunk chunk, long epochMillis) {
    String recordId = chunk.snapshotId() + "-" + chunk.index();
    return ConfigurationRecord.ofSnapshot(recordId, host, epochMillis, chunk);
  }
}
