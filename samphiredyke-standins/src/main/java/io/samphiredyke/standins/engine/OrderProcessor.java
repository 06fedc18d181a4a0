package io.samphiredyke.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** Applies orders to the models and the role of an engine, and records them. */
final class OrderProcessor {

  private static final int MAX_RECORDED_ORDERS = 1_000;

  private final boolean checkFence;
  private final List<LoadedModel> models = new ArrayList<>();
  private final ArrayDeque<Handled> handled = new ArrayDeque<>();
  private String role;
  private long highestFence;

  OrderProcessor(boolean checkFence, String role, List<String> loaded) {
    this.checkFence = checkFence;
    this.role = role;
    for (String model : loaded) {
      String[] nameAndVersion = model.split("@", 2);
      String version = nameAndVersion.length == 2 ? nameAndVersion[1] : "1";
      models.add(new LoadedModel(nameAndVersion[0], version, null, LoadedModel.Status.LOADED));
    }
  }

  /** The outcome of an order. */
  enum Outcome {
    /** The ordered state existed already or has been reached. */
    @JsonProperty("applied")
    APPLIED,
    /** A load was started. */
    @JsonProperty("loading")
    LOADING,
    /** The fencing number is lower than that of an earlier order. */
    @JsonProperty("fenced")
    FENCED,
    /** The kind is unknown, or a member that it requires is missing. */
    @JsonProperty("invalid")
    INVALID
  }

  /** A processed order and its outcome. */
  record Handled(Order order, Outcome outcome, boolean oldFence) {}

  Outcome apply(Order order) {
    boolean oldFence = order.fence() < highestFence;
    Outcome outcome = oldFence && checkFence ? Outcome.FENCED : execute(order);
    if (outcome != Outcome.INVALID) {
      highestFence = Math.max(highestFence, order.fence());
    }
    handled.addLast(new Handled(order, outcome, oldFence));
    if (handled.size() > MAX_RECORDED_ORDERS) {
      handled.removeFirst();
    }
    return outcome;
  }

  private Outcome execute(Order order) {
    String kind = String.valueOf(order.kind());
    return switch (kind) {
      case "load" -> load(order);
      case "unload" -> unload(order);
      case "role" -> changeRole(order);
      default -> Outcome.INVALID;
    };
  }

  private Outcome load(Order order) {
    String model = order.model();
    if (model == null) {
      return Outcome.INVALID;
    }
    for (LoadedModel candidate : models) {
      if (candidate.matches(order) && candidate.status() != LoadedModel.Status.FAILED) {
        return Outcome.APPLIED;
      }
    }
    models.removeIf(candidate -> candidate.matches(order));
    models.add(
        new LoadedModel(
            model, order.versionOrDefault(), order.adapter(), LoadedModel.Status.LOADING));
    return Outcome.LOADING;
  }

  private Outcome unload(Order order) {
    if (order.model() == null) {
      return Outcome.INVALID;
    }
    models.removeIf(candidate -> candidate.matches(order));
    return Outcome.APPLIED;
  }

  private Outcome changeRole(Order order) {
    String newRole = order.role();
    if (newRole == null) {
      return Outcome.INVALID;
    }
    role = newRole;
    return Outcome.APPLIED;
  }

  /** Completes the load that an order started, unless the model was unloaded in the meantime. */
  void finishLoad(Order order, boolean fetched) {
    LoadedModel.Status status = fetched ? LoadedModel.Status.LOADED : LoadedModel.Status.FAILED;
    models.replaceAll(
        candidate ->
            candidate.matches(order) && candidate.status() == LoadedModel.Status.LOADING
                ? candidate.withStatus(status)
                : candidate);
  }

  boolean hasLoaded(String model) {
    return models.stream()
        .anyMatch(
            candidate ->
                candidate.model().equals(model) && candidate.status() == LoadedModel.Status.LOADED);
  }

  List<LoadedModel> models() {
    return List.copyOf(models);
  }

  List<Handled> handled() {
    return List.copyOf(handled);
  }

  String role() {
    return role;
  }

  long highestFence() {
    return highestFence;
  }
}
