package io.samphiredyke.bench.decisions;

import org.jspecify.annotations.Nullable;

/** One request on its way through a dispatcher: its stream, its deadline and its outcome. */
final class RequestRun implements BenchEngine.Listener {

  /** Reacts to the progress of a dispatched request. */
  interface Observer {

    /** The first token arrived. */
    default void firstToken(RequestRun run) {}

    /** A further token arrived. */
    default void tokenGap(RequestRun run, long gapNanos) {}

    /** The stream ended, whole or not. */
    default void ended(RequestRun run) {}
  }

  private final Arrival arrival;
  private final ModelClock clock;
  private final Tally tally;
  private Observer observer = new Observer() {};
  private @Nullable BenchEngine engine;
  private long execution;
  private long dispatchedAt;
  private long firstTokenAt;
  private long lastTokenAt;
  private int tokens;
  private final boolean counted;
  private boolean done;
  private boolean complete;

  RequestRun(Arrival arrival, ModelClock clock, Tally tally) {
    this.arrival = arrival;
    this.clock = clock;
    this.tally = tally;
    counted = tally.isCounting();
    if (counted) {
      tally.offered(arrival);
    }
    clock.at(arrival.deadline(), this::deadlinePassed);
  }

  Arrival arrival() {
    return arrival;
  }

  boolean isDone() {
    return done;
  }

  boolean isComplete() {
    return complete;
  }

  boolean isDispatched() {
    return engine != null;
  }

  int tokens() {
    return tokens;
  }

  long firstTokenNanos() {
    return firstTokenAt == 0 ? 0 : firstTokenAt - dispatchedAt;
  }

  long lastTokenAt() {
    return lastTokenAt;
  }

  long meanTokenIntervalNanos() {
    return tokens < 2 ? 0 : (lastTokenAt - firstTokenAt) / (tokens - 1);
  }

  void observe(Observer value) {
    observer = value;
  }

  void dispatch(BenchEngine target) {
    if (done) {
      return;
    }
    engine = target;
    dispatchedAt = clock.now();
    execution = target.submit(arrival, this);
  }

  /** Ends the request without an answer. */
  void refuse(String reason) {
    if (!done) {
      done = true;
      if (counted) {
        tally.refused(arrival, reason);
      }
    }
  }

  @Override
  public void token(boolean last, long now) {
    if (done) {
      return;
    }
    tokens++;
    if (tokens == 1) {
      firstTokenAt = now;
      if (counted) {
        tally.firstToken(this, now - arrival.time());
      }
      observer.firstToken(this);
    } else {
      if (counted) {
        tally.tokenGap(this, now - lastTokenAt);
      }
      observer.tokenGap(this, now - lastTokenAt);
    }
    lastTokenAt = now;
    if (last) {
      done = true;
      complete = true;
      if (engine != null) {
        engine.countWork(arrival.work());
      }
      if (counted) {
        tally.completed(arrival, now);
      }
      observer.ended(this);
    }
  }

  @Override
  public void failed(long now) {
    if (!done) {
      done = true;
      if (counted) {
        tally.refused(arrival, "ENGINE_DIED");
      }
      observer.ended(this);
    }
  }

  @Nullable BenchEngine engine() {
    return engine;
  }

  private void deadlinePassed() {
    if (done) {
      return;
    }
    done = true;
    if (counted) {
      tally.missed(arrival, engine != null);
    }
    if (engine != null) {
      engine.cancel(execution);
    }
    observer.ended(this);
  }
}
