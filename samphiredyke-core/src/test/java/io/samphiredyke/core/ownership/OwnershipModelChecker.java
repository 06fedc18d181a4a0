package io.samphiredyke.core.ownership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Visits every state that can be reached and checks what callers are promised. */
final class OwnershipModelChecker {

  /**
   * What an exploration found.
   *
   * @param states number of distinct states visited
   * @param steps number of steps between them
   * @param violation the promise that is broken, if any
   * @param trace the steps that lead to it
   * @param invariantViolations violated invariants of the program itself, by name
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
      ModelState world = queue.remove();
      explore(world);
    }
    Map<String, Long> program = new TreeMap<>(model.invariants().violations());
    program.values().removeIf(count -> count == 0);
    return new Result(visited.size(), steps, Optional.ofNullable(violation), trace(), program);
  }

  private void explore(ModelState world) {
    try {
      model.forEachStep(world, (step, next) -> visit(world, step, next));
    } catch (RuntimeException e) {
      violatingState = world;
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

  private String violationIn(ModelState world) {
    if (world.dispatches() > 1) {
      return "dispatched twice";
    }
    if (world.hasFlag(OwnershipModel.NOT_RUN_TOLD) && world.dispatches() > 0) {
      return "told as not run, and dispatched";
    }
    boolean isUnknown = world.hasFlag(OwnershipModel.UNKNOWN_TOLD);
    if (isUnknown && !config.isAsynchronous() && !isUnknownAllowed(world)) {
      return "told as unknown without need";
    }
    return null;
  }

  private boolean isUnknownAllowed(ModelState world) {
    if (world.hasFlag(OwnershipModel.ENDPOINT_LOST) || model.dead(world) > 1) {
      return true;
    }
    // The holder died after its intent was recorded and before the endpoint had the request.
    return model.dead(world) == 1 && world.hasFlag(OwnershipModel.RESUMED_BEFORE_ARRIVAL);
  }

  private List<String> trace() {
    List<String> trace = new ArrayList<>();
    for (ModelState world = violatingState; world != null; world = visited.get(world).from()) {
      trace.add(String.valueOf(visited.get(world).step()));
    }
    Collections.reverse(trace);
    return trace;
  }
}
