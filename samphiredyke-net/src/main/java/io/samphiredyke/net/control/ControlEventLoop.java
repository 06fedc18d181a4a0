package io.samphiredyke.net.control;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** The single-threaded event loop that confines all control state of the process. */
public final class ControlEventLoop {

  private final EventLoop loop;
  private final Clock clock;
  private final Consumer<Throwable> onFailure;

  /** Creates a control loop that logs the failures of its actions. */
  public ControlEventLoop(EventLoop loop, Clock clock) {
    this(loop, clock, LoggedFailures::log);
  }

  /**
   * Creates a control loop on an event loop.
   *
   * @param loop the event loop, which runs on one thread
   * @param clock the wall clock, for timestamps that several processes compare
   * @param onFailure receives the failures of scheduled actions, on the loop
   */
  public ControlEventLoop(EventLoop loop, Clock clock, Consumer<Throwable> onFailure) {
    this.loop = loop;
    this.clock = clock;
    this.onFailure = onFailure;
  }

  /** Runs an action on the loop; immediately if the caller is on the loop. */
  public void execute(Runnable action) {
    if (loop.inEventLoop()) {
      action.run();
    } else {
      loop.execute(reporting(action));
    }
  }

  /** Computes a value on the loop and completes the returned future with it. */
  public <T> CompletableFuture<T> supply(Supplier<T> supplier) {
    CompletableFuture<T> result = new CompletableFuture<>();
    execute(
        () -> {
          try {
            result.complete(supplier.get());
          } catch (RuntimeException e) {
            result.completeExceptionally(e);
          }
        });
    return result;
  }

  /**
   * Passes the value or the failure of a future to one of two actions on the loop. Neither runs if
   * the future completes with null.
   */
  public <T> void whenDone(
      CompletableFuture<T> future, Consumer<T> onValue, Consumer<Throwable> onFailure) {
    future.whenComplete(
        (value, failure) -> execute(() -> deliver(value, failure, onValue, onFailure)));
  }

  private static <T> void deliver(
      @Nullable T value,
      @Nullable Throwable failure,
      Consumer<T> onValue,
      Consumer<Throwable> onFailure) {
    if (failure != null) {
      onFailure.accept(failure);
    } else if (value != null) {
      onValue.accept(value);
    }
  }

  /** Runs an action on the loop after a delay. */
  public Future<?> schedule(Runnable action, Duration delay) {
    return loop.schedule(reporting(action), delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  /**
   * Runs an action on the loop repeatedly, with a fixed delay between runs. A run that fails is
   * reported, and the next one follows.
   */
  public Future<?> scheduleWithFixedDelay(Runnable action, Duration interval) {
    long nanos = interval.toNanos();
    return loop.scheduleWithFixedDelay(reporting(action), nanos, nanos, TimeUnit.NANOSECONDS);
  }

  /**
   * Runs an action on the loop after a delay, and again in an interval for as long as it returns
   * true. A run that fails is reported, and the next one follows.
   */
  public void repeatWhile(BooleanSupplier action, Duration delay, Duration interval) {
    loop.schedule(() -> repeat(action, interval), delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void repeat(BooleanSupplier action, Duration interval) {
    boolean isNeeded = true;
    try {
      isNeeded = action.getAsBoolean();
    } catch (RuntimeException | Error e) {
      onFailure.accept(e);
    }
    if (isNeeded) {
      repeatWhile(action, interval, interval);
    }
  }

  /** Returns an action whose failure is reported; the event loop itself would drop it. */
  private Runnable reporting(Runnable action) {
    return () -> {
      try {
        action.run();
      } catch (RuntimeException | Error e) {
        onFailure.accept(e);
      }
    };
  }

  /** Returns the monotonic time in nanoseconds. */
  public long nanoTime() {
    return loop.ticker().nanoTime();
  }

  /** Returns the wall-clock time in milliseconds since the epoch. */
  public long epochMillis() {
    return clock.millis();
  }
}
