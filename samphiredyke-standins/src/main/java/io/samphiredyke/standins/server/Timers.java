package io.samphiredyke.standins.server;

import io.netty.util.concurrent.Ticker;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * Runs actions at times of the runtime's ticker, on its event loop.
 *
 * <p>A ticker other than the system's is read every millisecond while actions are due later, so
 * that a test that advances it sees them run. Used on the event loop only.
 */
public final class Timers {

  private static final long POLL_NANOS = 1_000_000;

  private final StandInRuntime runtime;
  private final PriorityQueue<Timer> pending =
      new PriorityQueue<>(Comparator.comparingLong(Timer::due).thenComparingLong(Timer::number));
  private long lastNumber;
  private long wakeAt = Long.MAX_VALUE;

  /** Creates a set of timers without any. */
  public Timers(StandInRuntime runtime) {
    this.runtime = runtime;
  }

  private record Timer(long due, long number, Runnable action) {}

  /** Returns the time now, in nanoseconds of the ticker. */
  public long now() {
    return runtime.ticker().nanoTime();
  }

  /** Runs an action after a delay in nanoseconds; actions due together run in order of calls. */
  public void after(long nanos, Runnable action) {
    at(now() + nanos, action);
  }

  /** Runs an action at a time in nanoseconds of the ticker. */
  public void at(long due, Runnable action) {
    lastNumber++;
    pending.add(new Timer(due, lastNumber, action));
    arm();
  }

  private void arm() {
    Timer next = pending.peek();
    if (next == null || next.due() >= wakeAt) {
      return;
    }
    wakeAt = next.due();
    long delay = Math.max(0, next.due() - now());
    boolean system = runtime.ticker() == Ticker.systemTicker();
    long wait = system ? delay : Math.min(delay, POLL_NANOS);
    runtime.loop().schedule(this::wake, wait, TimeUnit.NANOSECONDS);
  }

  private void wake() {
    wakeAt = Long.MAX_VALUE;
    long now = now();
    while (true) {
      Timer next = pending.peek();
      if (next == null || next.due() > now) {
        break;
      }
      pending.remove();
      next.action().run();
    }
    arm();
  }
}
