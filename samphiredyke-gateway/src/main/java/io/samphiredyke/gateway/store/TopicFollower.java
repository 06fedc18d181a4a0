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
    void listed(List<StoreRecord> records, long next);

    /**
     * Records in their order.
     *
     * @param next offset behind them
     */
    void read(List<StoreRecord> records, long next);

    /** The store did not answer, or answered with an error. */
    void lost(String reason);
  }

  /** Time without an answer after which a call has failed; an answer takes some milliseconds. */
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_000);

  /** How soon it is asked again whether this host has to read. */
  private static final Duration RECHECK = Duration.ofMillis(200);

  private static final double NANOS_PER_SECOND = 1e9;
  private static final long FIRST_PAUSE_MILLIS = 100;
  private static final long LONGEST_PAUSE_MILLIS = 1_000;

  private final ControlEventLoop loop;
  private final StoreClient store;
  private final String topic;
  private final Duration wait;
  private final Duration pace;
  private final Receiver receiver;
  private final DecisionLog log;
  private final RandomGenerator random;
  private BooleanSupplier needed = () -> true;
  private boolean reading;
  private long next = -1;
  private long failures;
  private long calls;
  private int round;
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
    this.wait = wait;
    this.pace = pace;
    this.receiver = receiver;
    this.log = log;
    this.random = random;
  }

  /**
   * Lets others read in place of this host.
   *
   * @param needed whether this host has to read itself now
   */
  public void readOnlyIf(BooleanSupplier needed) {
    this.needed = needed;
  }

  /** Returns the offset that is read next, or -1 before the first list. */
  public long next() {
    return next;
  }

  /** Notes that all records before an offset are known from elsewhere. */
  public void advance(long offset) {
    if (next >= 0 && offset > next && !reading) {
      next = offset;
    }
  }

  /** Starts to follow. */
  public void start() {
    list();
  }

  /** Gives up the call that is under way and lists anew; its connection may be dead. */
  public void restart() {
    reading = false;
    list();
  }

  private void list() {
    calls++;
    round++;
    call(store.newest(topic, CALL_TIMEOUT), this::listed);
  }

  /** Passes the outcome of a call on unless a newer round of calls has begun meanwhile. */
  private void call(CompletableFuture<StoreBatch> answer, Consumer<StoreBatch> onAnswer) {
    int asked = round;
    loop.whenDone(
        answer,
        batch -> {
          if (asked == round) {
            onAnswer.accept(batch);
          }
        },
        failure -> {
          if (asked == round) {
            failed(failure);
          }
        });
  }

  private void listed(StoreBatch batch) {
    next = batch.next();
    answered();
    receiver.listed(batch.records(), next);
    schedule();
  }

  /** Reads at once rather than at the next turn. */
  public void readNow() {
    if (next >= 0 && !reading) {
      readOnce();
    }
  }

  private void readOnce() {
    reading = true;
    calls++;
    int asked = round;
    loop.whenDone(
        store.read(topic, next, Duration.ZERO, CALL_TIMEOUT),
        batch -> {
          if (asked == round) {
            take(batch);
          }
        },
        failure -> reading = reading && asked != round);
  }

  private void take(StoreBatch batch) {
    reading = false;
    next = batch.next();
    answered();
    receiver.read(batch.records(), next);
  }

  private void read() {
    if (reading) {
      later(this::read, RECHECK);
      return;
    }
    if (!needed.getAsBoolean()) {
      later(this::read, RECHECK);
      return;
    }
    reading = true;
    calls++;
    call(store.read(topic, next, wait, CALL_TIMEOUT), this::readDone);
  }

  private void readDone(StoreBatch batch) {
    take(batch);
    schedule();
  }

  private void answered() {
    if (failures > 0) {
      log.event("store_back", "topic", topic, "failures", failures);
    }
    failures = 0;
    lastReadAt = loop.nanoTime();
  }

  private void schedule() {
    later(this::read, pace);
  }

  /** Takes a step after a time unless a newer round of calls has begun meanwhile. */
  private void later(Runnable step, Duration delay) {
    int scheduled = round;
    loop.schedule(
        () -> {
          if (scheduled == round) {
            step.run();
          }
        },
        delay);
  }

  private void failed(Throwable failure) {
    reading = false;
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof StoreException store && store.isHistoryGone()) {
      log.event("store_history_gone", "topic", topic, "from", next);
      list();
      return;
    }
    failures++;
    String reason = cause == null ? "unknown" : String.valueOf(cause.getMessage());
    if (failures == 1) {
      log.event("store_lost", "topic", topic, "reason", reason);
    }
    receiver.lost(reason);
    long longest = Math.min(LONGEST_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << Math.min(failures, 5));
    long pause = longest / 2 + random.nextLong(longest / 2);
    later(next < 0 ? this::list : this::read, Duration.ofMillis(pause));
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
