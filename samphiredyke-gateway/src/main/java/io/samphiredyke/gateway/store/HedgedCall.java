package io.samphiredyke.gateway.store;

import io.netty.util.concurrent.Future;
import io.samphiredyke.net.control.ControlEventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * An idempotent call that is made a second time if it has not completed after a delay, and whose
 * first response counts.
 *
 * <p>The second call should use a new connection, as the first may wait on one that is silent for
 * good. Confined to the control loop.
 *
 * @param <T> type of the response
 */
final class HedgedCall<T> {

  private final ControlEventLoop loop;
  private final Consumer<T> onValue;
  private final Consumer<Throwable> onFailure;
  private final List<CompletableFuture<T>> calls = new ArrayList<>();
  private @Nullable Future<?> timer;
  private int pending;
  private boolean done;

  private HedgedCall(ControlEventLoop loop, Consumer<T> onValue, Consumer<Throwable> onFailure) {
    this.loop = loop;
    this.onValue = onValue;
    this.onFailure = onFailure;
  }

  /**
   * Starts a call.
   *
   * @param delay time after which the second call is made
   * @param onValue receives the first response
   * @param onFailure receives the failure if no call succeeded
   */
  static <T> HedgedCall<T> start(
      ControlEventLoop loop,
      Supplier<CompletableFuture<T>> first,
      Supplier<CompletableFuture<T>> second,
      Duration delay,
      Consumer<T> onValue,
      Consumer<Throwable> onFailure) {
    HedgedCall<T> call = new HedgedCall<>(loop, onValue, onFailure);
    call.timer = loop.schedule(() -> call.add(second.get()), delay);
    call.add(first.get());
    return call;
  }

  private void add(CompletableFuture<T> response) {
    calls.add(response);
    pending++;
    loop.whenDone(response, this::succeeded, this::failed);
  }

  private void succeeded(T value) {
    if (!done) {
      cancel();
      onValue.accept(value);
    }
  }

  private void failed(Throwable failure) {
    pending--;
    if (!done && pending == 0) {
      end();
      onFailure.accept(failure);
    }
  }

  boolean isDone() {
    return done;
  }

  /** Abandons the call; neither consumer is called afterwards. */
  void cancel() {
    end();
    List.copyOf(calls).forEach(call -> call.cancel(false));
  }

  /** Cancels the timer, which would keep the response in memory until it fires. */
  private void end() {
    done = true;
    Future<?> pendingTimer = timer;
    if (pendingTimer != null) {
      pendingTimer.cancel(false);
    }
  }
}
