package io.samphiredyke.bench.decisions;

import io.samphiredyke.standins.engine.EmittedToken;
import io.samphiredyke.standins.engine.EngineModel;
import io.samphiredyke.standins.engine.EngineRequest;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Engine model driven by the simulated clock. */
final class SimulatedEngine {

  /** Receives the tokens or the failure of one execution. */
  interface Listener {

    void token(boolean last, long now);

    void failed(long now);
  }

  private final EngineProfile profile;
  private final EngineModel model;
  private final SimulatedClock clock;
  private final Map<Long, Listener> listeners = new HashMap<>();
  private long scheduledStepAt = EngineModel.IDLE;
  private boolean crashed;
  private double workDone;

  SimulatedEngine(EngineProfile profile, SimulatedClock clock) {
    this.profile = profile;
    this.clock = clock;
    model = new EngineModel(profile.options());
  }

  EngineProfile profile() {
    return profile;
  }

  EngineModel model() {
    return model;
  }

  boolean isCrashed() {
    return crashed;
  }

  double workDone() {
    return workDone;
  }

  void addWork(double work) {
    workDone += work;
  }

  long submit(Arrival arrival, Listener listener) {
    advance();
    EngineRequest request =
        new EngineRequest(arrival.id(), arrival.prompt(), arrival.answerTokens());
    long execution = model.submit(request, clock.now());
    listeners.put(execution, listener);
    schedule();
    return execution;
  }

  void cancel(long execution) {
    advance();
    listeners.remove(execution);
    model.cancel(execution, clock.now());
    schedule();
  }

  void crash() {
    advance();
    crashed = true;
    model.cancelAll(clock.now());
    for (Listener listener : List.copyOf(listeners.values())) {
      listener.failed(clock.now());
    }
    listeners.clear();
  }

  void setSlowdown(double factor) {
    model.slowFactor(factor);
  }

  private void advance() {
    for (EmittedToken token : model.runUntil(clock.now())) {
      Listener listener = listeners.get(token.execution());
      if (listener == null) {
        continue;
      }
      if (token.last()) {
        listeners.remove(token.execution());
      }
      listener.token(token.last(), clock.now());
    }
  }

  private void schedule() {
    long next = model.nextStepAt();
    if (next == EngineModel.IDLE || next == scheduledStepAt) {
      return;
    }
    scheduledStepAt = next;
    clock.at(
        next,
        () -> {
          scheduledStepAt = EngineModel.IDLE;
          advance();
          schedule();
        });
  }
}
