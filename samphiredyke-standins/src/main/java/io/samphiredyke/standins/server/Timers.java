package io.samphiredyke.standins.server;

import io.netty.util.concurrent.Ticker;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * Schedules actions on the runtime's event loop, at times of its ticker.
 *
 * <p>A ticker other than the system ticker is polled every millisecond while actions are pending,
 * so that they run when a test advances it. Used on the event loop only.
 */
public final class Timers {

  private static final long POLL_NANOS = 1_000_000;

  private final StandInRuntime runtime;
  private final PriorityQueue<Timer> pending =
      new PriorityQueue<>(Comparator.comparingLong(Timer::due).thenComparingLong(Timer::number));
  private long lastNumber;
  private long wakeUpAt = Long.MAX_VALUE;

  /** Creates an empty timer queue. */
  public Timers(StandInRuntime runtime) {
    this.runtime = runtime;
  }

  private record Timer(long due, long number, Runnable action) {}

  /** Returns the current time, in nanoseconds of the ticker. */
  public long now() {
    return runtime.ticker().nanoTime();
  }

  /**
   * Runs an action after a delay in nanoseconds; actions due at the same time run in FIFO order.
   */
  public void scheduleAfter(long nanos, Runnable action) {
    scheduleAt(now() + nanos, action);
  }

  /** Runs an action at a time in nanoseconds of the ticker. */
  public void scheduleAt(long due, Runnable action) {
    lastNumber++;
    pending.add(new Timer(due, lastNumber, action));
    scheduleWakeUp();
  }

  private void scheduleWakeUp() {
    Timer next = pending.peek();
    if (next == null || next.due() >= wakeUpAt) {
      return;
    }
    wakeUpAt = next.due();
    long delay = Math.max(0, next.due() - now());
    boolean isSystemTicker = runtime.ticker() == Ticker.systemTicker();
    long wait = isSystemTicker ? delay : Math.min(delay, POLL_NANOS);
    runtime.loop().schedule(this::runDue, wait, TimeUnit.NANOSECONDS);
  }

  private void runDue() {
    wakeUpAt = Long.MAX_VALUE;
    long now = now();
    while (true) {
      Timer next = pending.peek();
      if (next == null || next.due() > now) {
        break;
      }
      pending.remove();
      next.action().run();
    }
    scheduleWakeUp();
  }
}
