package io.samphiredyke.core.ownership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Explicit-state model checker of the ownership protocol, which visits all reachable states by
 * breadth-first search and checks the guarantees given to callers.
 */
final class OwnershipModelChecker {

  /**
   * Result of an exploration.
   *
   * @param states number of distinct states visited
   * @param steps number of steps taken, including those to known states
   * @param violation the violated guarantee, if any
   * @param trace the steps that lead to the violation
   * @param invariantViolations number of violations of the invariants in production code, by name
   */
  record Result(
      int states,
      long steps,
      Optional<String> violation,
      List<String> trace,
      Map<String, Long> invariantViolations) {

    @Override
    public String toString() {
      return states + " states, " + steps + " steps, " + violation.orElse("no violation");
    }
  }

  private record Origin(ModelState from, Object step) {}

  private final ModelConfig config;
  private final OwnershipModel model;
  private final Map<ModelState, Origin> visited = new HashMap<>();
  private final ArrayDeque<ModelState> queue = new ArrayDeque<>();
  private long steps;
  private ModelState violatingState;
  private String violation;

  OwnershipModelChecker(ModelConfig config) {
    this.config = config;
    this.model = new OwnershipModel(config);
  }

  static Result run(ModelConfig config) {
    return new OwnershipModelChecker(config).explore();
  }

  private Result explore() {
    ModelState start = new ModelState();
    visited.put(start, new Origin(null, "start"));
    queue.add(start);
    while (!queue.isEmpty() && violatingState == null) {
      ModelState state = queue.remove();
      explore(state);
    }
    Map<String, Long> violations = new TreeMap<>(model.invariants().violations());
    violations.values().removeIf(count -> count == 0);
    return new Result(visited.size(), steps, Optional.ofNullable(violation), trace(), violations);
  }

  private void explore(ModelState state) {
    try {
      model.forEachStep(state, (step, next) -> visit(state, step, next));
    } catch (RuntimeException e) {
      violatingState = state;
      throw new IllegalStateException("after " + String.join("\n", trace()), e);
    }
  }

  private void visit(ModelState from, Object step, ModelState next) {
    steps++;
    if (violatingState != null || visited.containsKey(next)) {
      return;
    }
    if (visited.size() >= config.maxStates()) {
      throw new IllegalStateException("more than " + config.maxStates() + " states");
    }
    visited.put(next, new Origin(from, step));
    queue.add(next);
    violation = violationIn(next);
    if (violation != null) {
      violatingState = next;
    }
  }

  private String violationIn(ModelState state) {
    if (state.dispatches() > 1) {
      return "dispatched more than once";
    }
    if (state.hasFlag(OwnershipModel.NOT_RUN_REPORTED) && state.dispatches() > 0) {
      return "reported as not run, but dispatched";
    }
    boolean isUnknown = state.hasFlag(OwnershipModel.UNKNOWN_REPORTED);
    if (isUnknown && !config.isAsynchronous() && !isUnknownAllowed(state)) {
      return "reported as unknown without need";
    }
    return null;
  }

  private boolean isUnknownAllowed(ModelState state) {
    if (state.hasFlag(OwnershipModel.ENDPOINT_LOST) || model.crashedMembers(state) > 1) {
      return true;
    }
    // The holder crashed after its intent was recorded and before the request reached the endpoint.
    return model.crashedMembers(state) == 1 && state.hasFlag(OwnershipModel.RESUMED_BEFORE_ARRIVAL);
  }

  private List<String> trace() {
    List<String> trace = new ArrayList<>();
    for (ModelState state = violatingState; state != null; state = visited.get(state).from()) {
      trace.add(String.valueOf(visited.get(state).step()));
    }
    Collections.reverse(trace);
    return trace;
  }
}
