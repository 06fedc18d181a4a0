package io.samphiredyke.bench.decisions;

import org.jspecify.annotations.Nullable;

/** Execution of one request through a dispatcher: its token stream, deadline and outcome. */
final class RequestRun implements SimulatedEngine.Listener {

  /** Observes the progress of a dispatched request. */
  interface Observer {

    /** Called when the first token arrives. */
    default void firstToken(RequestRun run) {}

    /** Called for each further token, with the time since the previous one. */
    default void tokenGap(RequestRun run, long gapNanos) {}

    /** Called when the stream ends, complete or not. */
    default void ended(RequestRun run) {}
  }

  private final Arrival arrival;
  private final SimulatedClock clock;
  private final OutcomeStatistics statistics;
  private Observer observer = new Observer() {};
  private @Nullable SimulatedEngine engine;
  private long execution;
  private long dispatchedAt;
  private long firstTokenAt;
  private long lastTokenAt;
  private int tokens;
  private final boolean measured;
  private boolean done;
  private boolean complete;

  RequestRun(Arrival arrival, SimulatedClock clock, OutcomeStatistics statistics) {
    this.arrival = arrival;
    this.clock = clock;
    this.statistics = statistics;
    measured = statistics.isCounting();
    if (measured) {
      statistics.recordOffered(arrival);
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

  void dispatch(SimulatedEngine target) {
    if (done) {
      return;
    }
    engine = target;
    dispatchedAt = clock.now();
    execution = target.submit(arrival, this);
  }

  /** Ends the request without a response. */
  void refuse(String reason) {
    if (!done) {
      done = true;
      if (measured) {
        statistics.recordRefused(arrival, reason);
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
      if (measured) {
        statistics.recordFirstToken(this, now - arrival.time());
      }
      observer.firstToken(this);
    } else {
      if (measured) {
        statistics.recordTokenGap(this, now - lastTokenAt);
      }
      observer.tokenGap(this, now - lastTokenAt);
    }
    lastTokenAt = now;
    if (last) {
      done = true;
      complete = true;
      if (engine != null) {
        engine.addWork(arrival.work());
      }
      if (measured) {
        statistics.recordCompleted(arrival, now);
      }
      observer.ended(this);
    }
  }

  @Override
  public void failed(long now) {
    if (!done) {
      done = true;
      if (measured) {
        statistics.recordRefused(arrival, "ENGINE_DIED");
      }
      observer.ended(this);
    }
  }

  @Nullable SimulatedEngine engine() {
    return engine;
  }

  private void deadlinePassed() {
    if (done) {
      return;
    }
    done = true;
    if (measured) {
      statistics.recordMissed(arrival, engine != null);
    }
    if (engine != null) {
      engine.cancel(execution);
    }
    observer.ended(this);
  }
}
