package io.samphiredyke.core.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Replays the log into a {@link ConfigurationState}, from its first record or from a snapshot.
 *
 * <p>If the log has deleted records that are missing here, later entries are held back until a
 * complete snapshot covers the gap. The state never regresses. Not thread-safe.
 */
public final class LogReplay {

  private static final int MAX_RECENT_ENTRIES = 1_024;

  private final SnapshotAssembler assembler = new SnapshotAssembler();
  private final List<LogEntry> heldBack = new ArrayList<>();
  private final Deque<LogEntry> recent = new ArrayDeque<>();
  private @Nullable ConfigurationState state;
  private boolean hasGap;
  private long pollOffset = ConfigurationState.FIRST_OFFSET;
  private long snapshotOffset = -1;
  private long snapshotTimeMillis;
  private long firstTimeMillis;
  private int changesSinceSnapshot;
  private long undecodable;
  private long refusedRegressions;

  /** Returns the offset to read from next. */
  public long pollOffset() {
    return pollOffset;
  }

  /** Returns whether the state is known. */
  public boolean isComplete() {
    return state != null;
  }

  /** Returns whether records are known to be missing between the state and the log. */
  public boolean hasGap() {
    return hasGap;
  }

  /** Returns the current configuration, empty while the state is not known. */
  public Configuration configuration() {
    return state == null ? Configuration.empty() : state.configuration();
  }

  /** Returns the state as a snapshot, null while it is not known. */
  public @Nullable Snapshot snapshot() {
    return state == null ? null : state.snapshot();
  }

  /**
   * Returns when the newest complete snapshot was appended to the log or, without a snapshot, when
   * the oldest entry that was read was appended, in milliseconds since 1970; 0 if nothing was read.
   */
  public long snapshotTimeMillis() {
    return snapshotTimeMillis == 0 ? firstTimeMillis : snapshotTimeMillis;
  }

  /** Returns the next offset of the newest complete snapshot, -1 if there is none. */
  public long snapshotOffset() {
    return snapshotOffset;
  }

  /** Returns how many records with changes were read since the newest complete snapshot. */
  public int changesSinceSnapshot() {
    return changesSinceSnapshot;
  }

  /** Returns how many records could not be decoded. */
  public long undecodable() {
    return undecodable;
  }

  /** Returns how many times an older state was offered and refused. */
  public long refusedRegressions() {
    return refusedRegressions;
  }

  /**
   * Applies a page read from {@link #pollOffset()}.
   *
   * @param page the page
   * @return the results of the records that were applied now
   */
  public List<ApplyResult> accept(LogPage page) {
    if (page.next() < pollOffset && page.entries().isEmpty()) {
      refusedRegressions++;
      return List.of();
    }
    if (state == null && !hasGap) {
      start(page);
    }
    return accept(page.entries());
  }

  private void start(LogPage page) {
    if (page.first() > ConfigurationState.FIRST_OFFSET) {
      offsetOutOfRange(page.first());
    } else {
      state = new ConfigurationState();
    }
  }

  private List<ApplyResult> accept(List<LogEntry> entries) {
    List<ApplyResult> results = new ArrayList<>();
    for (LogEntry entry : entries) {
      if (entry.offset() < pollOffset) {
        continue;
      }
      if (entry.offset() > pollOffset) {
        offsetOutOfRange(entry.offset());
      }
      pollOffset = entry.offset() + 1;
      applyOrHold(entry, results);
    }
    return results;
  }

  private void applyOrHold(LogEntry entry, List<ApplyResult> results) {
    firstTimeMillis = firstTimeMillis == 0 ? entry.timeMillis() : firstTimeMillis;
    if (hasGap) {
      heldBack.add(entry);
    } else {
      results.add(apply(entry));
    }
    trackSnapshots(entry, results);
  }

  private void trackSnapshots(LogEntry entry, List<ApplyResult> results) {
    ConfigurationRecord record = entry.record();
    if (record == null) {
      undecodable++;
      return;
    }
    SnapshotChunk chunk = record.snapshot();
    if (chunk == null) {
      changesSinceSnapshot++;
      return;
    }
    assembler.add(chunk).ifPresent(snapshot -> snapshotCompleted(snapshot, entry, results));
  }

  private void snapshotCompleted(Snapshot snapshot, LogEntry entry, List<ApplyResult> results) {
    if (snapshot.nextOffset() > entry.offset()) {
      refusedRegressions++;
      return;
    }
    if (snapshot.nextOffset() >= snapshotOffset) {
      snapshotOffset = snapshot.nextOffset();
      snapshotTimeMillis = entry.timeMillis();
      changesSinceSnapshot = 0;
    }
    if (hasGap && !heldBack.isEmpty() && snapshot.nextOffset() >= heldBack.get(0).offset()) {
      closeGap(snapshot, results);
    }
  }

  private void closeGap(Snapshot snapshot, List<ApplyResult> results) {
    if (restore(snapshot)) {
      applyHeldBack(results);
    }
  }

  /** Applies the held-back entries if the state has reached the first of them. */
  private void applyHeldBack(List<ApplyResult> results) {
    ConfigurationState current = state;
    long firstHeld = heldBack.isEmpty() ? pollOffset : heldBack.get(0).offset();
    if (current == null || current.nextOffset() < firstHeld) {
      return;
    }
    for (LogEntry held : heldBack) {
      if (held.offset() == current.nextOffset()) {
        results.add(apply(held));
      }
    }
    heldBack.clear();
    hasGap = false;
    pollOffset = Math.max(pollOffset, current.nextOffset());
  }

  private long stateOffset() {
    return state == null ? -1 : state.nextOffset();
  }

  private ApplyResult apply(LogEntry entry) {
    ConfigurationState current = state;
    if (current == null) {
      throw new IllegalStateException(
          "cannot apply offset " + entry.offset() + ": the state is not known yet");
    }
    recent.addLast(entry);
    if (recent.size() > MAX_RECENT_ENTRIES) {
      recent.removeFirst();
    }
    ConfigurationRecord record = entry.record();
    return record == null ? current.skip(entry.offset()) : current.apply(entry.offset(), record);
  }

  /** Replaces the state by that of a snapshot; refuses a snapshot that is older than the state. */
  private boolean restore(Snapshot snapshot) {
    ConfigurationState current = state;
    if (current != null && wouldRegress(current.configuration(), snapshot)) {
      refusedRegressions++;
      return false;
    }
    state = new ConfigurationState(snapshot);
    recent.clear();
    return true;
  }

  private static boolean wouldRegress(Configuration current, Snapshot snapshot) {
    if (snapshot.nextOffset() < current.nextOffset()) {
      return true;
    }
    return snapshot.items().stream()
        .anyMatch(item -> item.version() < current.version(item.item().key()));
  }

  /**
   * Records that the log no longer has the record at {@link #pollOffset()}.
   *
   * @param first the offset of the oldest record in the log
   */
  public void offsetOutOfRange(long first) {
    if (first <= pollOffset) {
      return;
    }
    heldBack.clear();
    hasGap = true;
    pollOffset = first;
  }

  /**
   * Applies the records or the snapshot of a peer.
   *
   * @param response the response of the peer
   * @return the results of the records that were applied now
   */
  public List<ApplyResult> accept(PeerResponse response) {
    snapshotTimeMillis = Math.max(snapshotTimeMillis, response.snapshotTimeMillis());
    List<ApplyResult> results = new ArrayList<>();
    Snapshot snapshot = response.snapshot();
    if (snapshot != null) {
      restoreIfNewer(snapshot);
    } else {
      applyPeerEntries(response, results);
    }
    applyHeldBack(results);
    return results;
  }

  private void restoreIfNewer(Snapshot snapshot) {
    boolean isNewer = state == null || snapshot.nextOffset() > state.nextOffset();
    if (isNewer && restore(snapshot) && !hasGap) {
      pollOffset = snapshot.nextOffset();
    }
  }

  private void applyPeerEntries(PeerResponse response, List<ApplyResult> results) {
    ConfigurationState current = state;
    long from =
        response.entries().isEmpty() ? response.nextOffset() : response.entries().get(0).offset();
    if (current == null && from == ConfigurationState.FIRST_OFFSET) {
      current = new ConfigurationState();
      state = current;
    }
    if (current == null || from > current.nextOffset()) {
      return;
    }
    for (LogEntry entry : response.entries()) {
      if (entry.offset() == stateOffset()) {
        results.add(apply(entry));
        trackSnapshots(entry, results);
      }
    }
  }

  /**
   * Returns the entries from an offset on, or a snapshot if they are no longer kept.
   *
   * @param from the offset of the first record that the peer lacks
   * @return the response, null while the state is not known
   */
  public @Nullable PeerResponse responseFrom(long from) {
    ConfigurationState current = state;
    if (current == null) {
      return null;
    }
    List<LogEntry> entries = recent.stream().filter(entry -> entry.offset() >= from).toList();
    boolean isCovered =
        from >= current.nextOffset() || (!entries.isEmpty() && entries.get(0).offset() == from);
    return new PeerResponse(
        current.nextOffset(),
        isCovered ? entries : List.of(),
        isCovered ? null : current.snapshot(),
        snapshotTimeMillis);
  }
}
