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
   * @param programViolations violated invariants of the program itself, by name
   */
  record Result(
      int states,
      long steps,
      Optional<String> violation,
      List<String> trace,
      Map<String, Long> programViolations) {

    @Override
    public String toString() {
      return states + " states, " + steps + " steps, " + violation.orElse("no violation");
    }
  }

  private record Origin(ModelWorld from, Object step) {}

  private final ModelConfig config;
  private final OwnershipModel model;
  private final Map<ModelWorld, Origin> visited = new HashMap<>();
  private final ArrayDeque<ModelWorld> queue = new ArrayDeque<>();
  private long steps;
  private ModelWorld broken;
  private String violation;

  OwnershipModelChecker(ModelConfig config) {
    this.config = config;
    this.model = new OwnershipModel(config);
  }

  static Result run(ModelConfig config) {
    return new OwnershipModelChecker(config).explore();
  }

  private Result explore() {
    ModelWorld start = new ModelWorld();
    visited.put(start, new Origin(null, "start"));
    queue.add(start);
    while (!queue.isEmpty() && broken == null) {
      ModelWorld world = queue.remove();
      explore(world);
    }
    Map<String, Long> program = new TreeMap<>(model.invariants().violations());
    program.values().removeIf(count -> count == 0);
    return new Result(visited.size(), steps, Optional.ofNullable(violation), trace(), program);
  }

  private void explore(ModelWorld world) {
    try {
      model.forEachStep(world, (step, next) -> visit(world, step, next));
    } catch (RuntimeException e) {
      broken = world;
      throw new IllegalStateException("after " + String.join("\n", trace()), e);
    }
  }

  private void visit(ModelWorld from, Object step, ModelWorld next) {
    steps++;
    if (broken != null || visited.containsKey(next)) {
      return;
    }
    if (visited.size() >= config.maxStates()) {
      throw new IllegalStateException("more than " + config.maxStates() + " states");
    }
    visited.put(next, new Origin(from, step));
    queue.add(next);
    violation = violationIn(next);
    if (violation != null) {
      broken = next;
    }
  }

  private String violationIn(ModelWorld world) {
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

  private boolean isUnknownAllowed(ModelWorld world) {
    if (world.hasFlag(OwnershipModel.ENDPOINT_LOST) || model.dead(world) > 1) {
      return true;
    }
    // The holder died after its intent was recorded and before the endpoint had the request.
    return model.dead(world) == 1 && world.hasFlag(OwnershipModel.ASKED_TOO_EARLY);
  }

  private List<String> trace() {
    List<String> trace = new ArrayList<>();
    for (ModelWorld world = broken; world != null; world = visited.get(world).from()) {
      trace.add(String.valueOf(visited.get(world).step()));
    }
    Collections.reverse(trace);
    return trace;
  }
}
