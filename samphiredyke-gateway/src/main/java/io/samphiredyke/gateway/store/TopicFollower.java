package io.samphiredyke.gateway.store;

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
import java.util.random.RandomGenerator;

/**
 * Follows a topic of the store: lists it once, reads what is appended, lists again after a gap.
 *
 * <p>Either it waits at the store for the next record, or it reads at a pace of its own, which is
 * cheaper where records come all the time.
 */
public final class TopicFollower {

  /** Receives what was read, on the loop. */
  public interface Receiver {

    /**
     * All keys as they are now.
     *
     * @param next offset from which changes follow
     */
    void onSnapshot(List<StoreRecord> records, long next);

    /**
     * Records in their order.
     *
     * @param next offset behind them
     */
    void onRecords(List<StoreRecord> records, long next);

    /** The store did not answer, or answered with an error. */
    void onUnavailable(String reason);
  }

  /** Time without an answer after which a call has failed; an answer takes some milliseconds. */
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_000);

  /** How soon it is asked again whether this host has to read. */
  private static final Duration RECHECK_INTERVAL = Duration.ofMillis(200);

  private static final double NANOS_PER_SECOND = 1e9;
  private static final long INITIAL_BACKOFF_MILLIS = 100;
  private static final long MAX_BACKOFF_MILLIS = 1_000;

  private final ControlEventLoop loop;
  private final StoreClient store;
  private final String topic;
  private final Duration longPollTimeout;
  private final Duration readInterval;
  private final Receiver receiver;
  private final DecisionLog log;
  private final RandomGenerator random;
  private BooleanSupplier readCondition = () -> true;
  private boolean reading;
  private long nextOffset = -1;
  private long failures;
  private long calls;
  private int generation;
  private long lastReadAt = Long.MIN_VALUE;

  /**
   * Creates a follower.
   *
   * @param wait how long a read waits at the store for a record
   * @param pace pause between two reads
   */
  public TopicFollower(
      ControlEventLoop loop,
      StoreClient store,
      String topic,
      Duration wait,
      Duration pace,
      Receiver receiver,
      DecisionLog log,
      RandomGenerator random) {
    this.loop = loop;
    this.store = store;
    this.topic = topic;
    this.longPollTimeout = wait;
    this.readInterval = pace;
    this.receiver = receiver;
    this.log = log;
    this.random = random;
  }

  /**
   * Lets others read in place of this host.
   *
   * @param needed whether this host has to read itself now
   */
  public void setReadCondition(BooleanSupplier needed) {
    this.readCondition = needed;
  }

  /** Returns the offset that is read next, or -1 before the first list. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Notes that all records before an offset are known from elsewhere. */
  public void advanceTo(long offset) {
    if (nextOffset >= 0 && offset > nextOffset && !reading) {
      nextOffset = offset;
    }
  }

  /** Starts to follow. */
  public void start() {
    readSnapshot();
  }

  /** Gives up the call that is under way and lists anew; its connection may be dead. */
  public void restart() {
    reading = false;
    readSnapshot();
  }

  private void readSnapshot() {
    calls++;
    generation++;
    whenCurrent(store.readNewest(topic, CALL_TIMEOUT), this::onSnapshot);
  }

  /** Passes the outcome of a call on unless a newer round of calls has begun meanwhile. */
  private void whenCurrent(CompletableFuture<StoreBatch> answer, Consumer<StoreBatch> onAnswer) {
    int asked = generation;
    loop.whenDone(
        answer,
        batch -> {
          if (asked == generation) {
            onAnswer.accept(batch);
          }
        },
        failure -> {
          if (asked == generation) {
            failed(failure);
          }
        });
  }

  private void onSnapshot(StoreBatch batch) {
    nextOffset = batch.next();
    recordSuccess();
    receiver.onSnapshot(batch.records(), nextOffset);
    scheduleRead();
  }

  /** Reads at once rather than at the next turn. */
  public void readNow() {
    if (nextOffset >= 0 && !reading) {
      readOnce();
    }
  }

  private void readOnce() {
    reading = true;
    calls++;
    int asked = generation;
    loop.whenDone(
        store.read(topic, nextOffset, Duration.ZERO, CALL_TIMEOUT),
        batch -> {
          if (asked == generation) {
            onRecords(batch);
          }
        },
        failure -> reading = reading && asked != generation);
  }

  private void onRecords(StoreBatch batch) {
    reading = false;
    nextOffset = batch.next();
    recordSuccess();
    receiver.onRecords(batch.records(), nextOffset);
  }

  private void read() {
    if (reading) {
      scheduleStep(this::read, RECHECK_INTERVAL);
      return;
    }
    if (!readCondition.getAsBoolean()) {
      scheduleStep(this::read, RECHECK_INTERVAL);
      return;
    }
    reading = true;
    calls++;
    whenCurrent(store.read(topic, nextOffset, longPollTimeout, CALL_TIMEOUT), this::readDone);
  }

  private void readDone(StoreBatch batch) {
    onRecords(batch);
    scheduleRead();
  }

  private void recordSuccess() {
    if (failures > 0) {
      log.event("store_back", "topic", topic, "failures", failures);
    }
    failures = 0;
    lastReadAt = loop.nanoTime();
  }

  private void scheduleRead() {
    scheduleStep(this::read, readInterval);
  }

  /** Takes a step after a time unless a newer round of calls has begun meanwhile. */
  private void scheduleStep(Runnable step, Duration delay) {
    int scheduled = generation;
    loop.schedule(
        () -> {
          if (scheduled == generation) {
            step.run();
          }
        },
        delay);
  }

  private void failed(Throwable failure) {
    reading = false;
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof StoreException store && store.isHistoryGone()) {
      log.event("store_history_gone", "topic", topic, "from", nextOffset);
      readSnapshot();
      return;
    }
    failures++;
    String reason = cause == null ? "unknown" : String.valueOf(cause.getMessage());
    if (failures == 1) {
      log.event("store_lost", "topic", topic, "reason", reason);
    }
    receiver.onUnavailable(reason);
    long longest = Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(failures, 5));
    long pause = longest / 2 + random.nextLong(longest / 2);
    scheduleStep(nextOffset < 0 ? this::readSnapshot : this::read, Duration.ofMillis(pause));
  }

  /** Returns how many calls were made. */
  public long calls() {
    return calls;
  }

  /** Returns how long ago the store last answered, seconds; not a number before the first time. */
  public double secondsSinceRead() {
    boolean wasRead = lastReadAt != Long.MIN_VALUE;
    return wasRead ? (loop.nanoTime() - lastReadAt) / NANOS_PER_SECOND : Double.NaN;
  }
}
