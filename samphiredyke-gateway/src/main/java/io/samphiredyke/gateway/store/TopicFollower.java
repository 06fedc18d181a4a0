package io.samphiredyke.gateway.store;

import io.samphiredyke.core.follow.TopicCursor;
import io.samphiredyke.gateway.log.DecisionLog;
import io.samphiredyke.net.control.ControlEventLoop;
import io.samphiredyke.platform.StoreBatch;
import io.samphiredyke.platform.StoreClient;
import io.samphiredyke.platform.StoreException;
import io.samphiredyke.platform.StoreRecord;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Follows a topic of the store: reads a snapshot once, then the appended records, and a new
 * snapshot after a gap or when the store has been restored from an older copy.
 *
 * <p>It either uses long polling or reads at a fixed interval, which is cheaper for topics with
 * frequent records.
 */
public final class TopicFollower {

  /** Receives the data that was read, on the control loop. */
  public interface Receiver {

    /**
     * Called with the newest record of each key.
     *
     * @param nextOffset offset from which changes follow
     */
    void onSnapshot(List<StoreRecord> records, long nextOffset);

    /**
     * Called with appended records in the order of their offsets.
     *
     * @param nextOffset offset after the last record
     */
    void onRecords(List<StoreRecord> records, long nextOffset);

    /** Called when the store was restored from an older copy; a snapshot of it follows. */
    void onRestored();

    /** Called when the store did not respond or responded with an error. */
    void onUnavailable(String reason);
  }

  /** Timeout of a call, in addition to its long poll; a response takes a few milliseconds. */
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_000);

  /**
   * Interval at which the read condition is checked again while it does not hold, and after which a
   * response of an older era is read anew.
   */
  private static final Duration RECHECK_INTERVAL = Duration.ofMillis(200);

  /**
   * Bounds of the time beyond its long poll after which a call is made once more on a new
   * connection, as its connection may be silent for good.
   */
  private static final Duration MIN_HEDGE_DELAY = Duration.ofMillis(250);

  private static final Duration MAX_HEDGE_DELAY = Duration.ofMillis(500);

  /** Multiple of the latest response time of the store after which a call counts as unanswered. */
  private static final int HEDGE_FACTOR = 3;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final long INITIAL_BACKOFF_MILLIS = 100;
  private static final long MAX_BACKOFF_MILLIS = 1_000;

  private final ControlEventLoop loop;
  private final StoreClient store;
  private final StoreClient freshStore;
  private final String topic;
  private final Supplier<Duration> longPollTimeout;
  private final Duration readInterval;
  private final Receiver receiver;
  private final DecisionLog log;
  private final RandomGenerator random;
  private BooleanSupplier readCondition = () -> true;
  private final TopicCursor cursor = new TopicCursor();
  private @Nullable HedgedCall<StoreBatch> call;
  private boolean waitsForRecords;
  private Duration responseTime = Duration.ZERO;
  private long failures;
  private long calls;
  private int generation;
  private long lastReadAt = Long.MIN_VALUE;
  private long callBeganAt;
  private long lastReadBeganAt = Long.MIN_VALUE;

  /**
   * Creates a follower.
   *
   * @param longPollTimeout how long the store may hold the next read until a record arrives
   * @param readInterval pause between two reads
   */
  public TopicFollower(
      ControlEventLoop loop,
      StoreClient store,
      String topic,
      Supplier<Duration> longPollTimeout,
      Duration readInterval,
      Receiver receiver,
      DecisionLog log,
      RandomGenerator random) {
    this.loop = loop;
    this.store = store;
    this.freshStore = store.withNewConnections();
    this.topic = topic;
    this.longPollTimeout = longPollTimeout;
    this.readInterval = readInterval;
    this.receiver = receiver;
    this.log = log;
    this.random = random;
  }

  /**
   * Sets the condition for reading, which lets other hosts read instead of this one.
   *
   * @param readCondition whether this host has to read now
   */
  public void setReadCondition(BooleanSupplier readCondition) {
    this.readCondition = readCondition;
  }

  /** Returns the position of this reader. */
  public TopicCursor position() {
    return cursor;
  }

  /** Records the era that the store or another host stated; reads a snapshot of a new one. */
  public void observeEra(long era) {
    if (cursor.observeEra(era)) {
      receiver.onRestored();
      restart();
    }
  }

  /**
   * Skips the records before an offset of the current era, which were received from another host.
   *
   * @return false if a read is in progress, which will return them
   */
  public boolean advanceTo(long offset) {
    return !isReading() && cursor.acceptRecords(cursor.era(), offset);
  }

  /** Starts following the topic. */
  public void start() {
    readSnapshot();
  }

  /** Abandons the current call, whose connection may be dead, and reads a new snapshot. */
  public void restart() {
    readSnapshot();
  }

  private boolean isReading() {
    HedgedCall<StoreBatch> current = call;
    return current != null && !current.isDone();
  }

  private void readSnapshot() {
    begin(
        () -> client().readNewest(topic, CALL_TIMEOUT),
        () -> freshStore.readNewest(topic, CALL_TIMEOUT),
        Duration.ZERO,
        this::onSnapshot);
  }

  /**
   * Makes a call in place of the current one.
   *
   * @param wait how long the store may hold the first call
   */
  private void begin(
      Supplier<CompletableFuture<StoreBatch>> first,
      Supplier<CompletableFuture<StoreBatch>> second,
      Duration wait,
      Consumer<StoreBatch> onBatch) {
    abandonCall();
    generation++;
    waitsForRecords = !wait.isZero();
    long startedAt = loop.nanoTime();
    callBeganAt = startedAt;
    call =
        HedgedCall.start(
            loop,
            counted(first),
            counted(second),
            wait.plus(hedgeDelay()),
            batch -> {
              if (wait.isZero()) {
                responseTime = Duration.ofNanos(loop.nanoTime() - startedAt);
              }
              onBatch.accept(batch);
            },
            this::onFailure);
  }

  private Supplier<CompletableFuture<StoreBatch>> counted(
      Supplier<CompletableFuture<StoreBatch>> storeCall) {
    return () -> {
      calls++;
      return storeCall.get();
    };
  }

  private Duration hedgeDelay() {
    Duration delay = responseTime.multipliedBy(HEDGE_FACTOR);
    if (delay.compareTo(MIN_HEDGE_DELAY) < 0) {
      return MIN_HEDGE_DELAY;
    }
    return delay.compareTo(MAX_HEDGE_DELAY) > 0 ? MAX_HEDGE_DELAY : delay;
  }

  private void abandonCall() {
    HedgedCall<StoreBatch> current = call;
    if (current != null) {
      current.cancel();
    }
  }

  private void onSnapshot(StoreBatch batch) {
    if (!cursor.acceptSnapshot(batch.era(), batch.nextOffset())) {
      scheduleStep(this::readSnapshot, RECHECK_INTERVAL);
      return;
    }
    recordSuccess(batch);
    apply(() -> receiver.onSnapshot(batch.records(), batch.nextOffset()), batch);
    scheduleRead();
  }

  /** Reads immediately instead of waiting for the next interval. */
  public void readNow() {
    if (!cursor.needsSnapshot() && !isReading()) {
      read(Duration.ZERO);
    }
  }

  /**
   * Abandons a read that waits for records, whose connection may be dead, and reads without
   * waiting. A read that does not wait goes on, because it is repeated on a new connection anyway.
   */
  public void readAgain() {
    if (cursor.needsSnapshot() || (isReading() && !waitsForRecords)) {
      return;
    }
    Supplier<CompletableFuture<StoreBatch>> read = readWith(freshStore, Duration.ZERO);
    begin(read, read, Duration.ZERO, this::onReadDone);
  }

  private Supplier<CompletableFuture<StoreBatch>> readWith(StoreClient client, Duration wait) {
    long offset = cursor.offset();
    return () -> client.read(topic, offset, wait, CALL_TIMEOUT);
  }

  private void read() {
    if (!readCondition.getAsBoolean()) {
      scheduleStep(this::read, RECHECK_INTERVAL);
      return;
    }
    // After a failure the era may have changed, so the store must respond without waiting.
    read(failures > 0 ? Duration.ZERO : longPollTimeout.get());
  }

  /** Returns the client for a first call; after a failure idle connections may be dead too. */
  private StoreClient client() {
    return failures > 0 ? freshStore : store;
  }

  private void read(Duration wait) {
    begin(readWith(client(), wait), readWith(freshStore, Duration.ZERO), wait, this::onReadDone);
  }

  private void onReadDone(StoreBatch batch) {
    int callGeneration = generation;
    if (onRecords(batch)) {
      scheduleRead();
    } else if (callGeneration == generation) {
      scheduleStep(this::readSnapshot, RECHECK_INTERVAL);
    }
  }

  /** Applies records; returns false if they belong to another era, so that nothing was applied. */
  private boolean onRecords(StoreBatch batch) {
    observeEra(batch.era());
    if (!cursor.acceptRecords(batch.era(), batch.nextOffset())) {
      return false;
    }
    recordSuccess(batch);
    apply(() -> receiver.onRecords(batch.records(), batch.nextOffset()), batch);
    return true;
  }

  /** Applies records; an unexpected error in one batch must not end the following of the topic. */
  private void apply(Runnable application, StoreBatch batch) {
    try {
      application.run();
    } catch (RuntimeException e) {
      log.event(
          "records_failed",
          "topic",
          topic,
          "records",
          batch.records().size(),
          "next",
          batch.nextOffset(),
          "reason",
          String.valueOf(e));
    }
  }

  private void recordSuccess(StoreBatch batch) {
    if (failures > 0) {
      log.event("store_back", "topic", topic, "failures", failures, "silent_ms", silentMillis());
    }
    failures = 0;
    lastReadAt = loop.nanoTime();
    if (batch.isUpToEnd()) {
      lastReadBeganAt = callBeganAt;
    }
  }

  private void scheduleRead() {
    scheduleStep(this::read, readInterval);
  }

  /** Schedules a step that runs unless a newer generation of calls has started since. */
  private void scheduleStep(Runnable step, Duration delay) {
    int stepGeneration = generation;
    loop.schedule(
        () -> {
          if (stepGeneration == generation) {
            step.run();
          }
        },
        delay);
  }

  private void onFailure(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof StoreException storeFailure && storeFailure.isHistoryGone()) {
      log.event("store_history_gone", "topic", topic, "from", cursor.offset());
      readSnapshot();
      return;
    }
    failures++;
    String reason = cause == null ? "unknown" : String.valueOf(cause.getMessage());
    if (failures == 1) {
      log.event(
          "store_lost",
          "topic",
          topic,
          "reason",
          reason,
          "offset",
          cursor.offset(),
          "silent_ms",
          silentMillis());
    }
    receiver.onUnavailable(reason);
    long maxBackoff = Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(failures, 5));
    long backoff = maxBackoff / 2 + random.nextLong(maxBackoff / 2);
    scheduleStep(
        cursor.needsSnapshot() ? this::readSnapshot : this::read, Duration.ofMillis(backoff));
  }

  /** Returns whether a read that began at or after a time has reached the end of the topic. */
  public boolean hasReadSince(long nanoTime) {
    return lastReadBeganAt != Long.MIN_VALUE && lastReadBeganAt - nanoTime >= 0;
  }

  /** Returns the number of calls made. */
  public long calls() {
    return calls;
  }

  /** Returns the milliseconds since the last response of the store, -1 before the first one. */
  public long silentMillis() {
    boolean wasRead = lastReadAt != Long.MIN_VALUE;
    return wasRead ? Duration.ofNanos(loop.nanoTime() - lastReadAt).toMillis() : -1;
  }

  /** Returns the seconds since the last response of the store, or NaN before the first one. */
  public double secondsSinceRead() {
    boolean wasRead = lastReadAt != Long.MIN_VALUE;
    return wasRead ? (loop.nanoTime() - lastReadAt) / NANOS_PER_SECOND : Double.NaN;
  }
}
