package io.samphiredyke.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** The models and the role of an engine, and the orders that changed them. */
final class OrderBook {

  private static final int KEPT_ORDERS = 1_000;

  private final boolean checkFence;
  private final List<LoadedModel> models = new ArrayList<>();
  private final ArrayDeque<Handled> handled = new ArrayDeque<>();
  private String role;
  private long highestFence;

  OrderBook(boolean checkFence, String role, List<String> loaded) {
    this.checkFence = checkFence;
    this.role = role;
    for (String model : loaded) {
      String[] parts = model.split("@", 2);
      String version = parts.length == 2 ? parts[1] : "1";
      models.add(new LoadedModel(parts[0], version, null, LoadedModel.Status.LOADED));
    }
  }

  /** What became of an order. */
  enum Outcome {
    /** The end state was there already or is there now. */
    @JsonProperty("applied")
    APPLIED,
    /** A load was started. */
    @JsonProperty("loading")
    LOADING,
    /** The fencing number is old. */
    @JsonProperty("fenced")
    FENCED,
    /** The order names no known kind or leaves out what the kind needs. */
    @JsonProperty("invalid")
    INVALID
  }

  /** An order and what became of it. */
  record Handled(Order order, Outcome outcome, boolean oldFence) {}

  Outcome apply(Order order) {
    boolean oldFence = order.fence() < highestFence;
    Outcome outcome = oldFence && checkFence ? Outcome.FENCED : carryOut(order);
    if (outcome != Outcome.INVALID) {
      highestFence = Math.max(highestFence, order.fence());
    }
    handled.addLast(new Handled(order, outcome, oldFence));
    if (handled.size() > KEPT_ORDERS) {
      handled.removeFirst();
    }
    return outcome;
  }

  private Outcome carryOut(Order order) {
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
    for (LoadedModel present : models) {
      if (present.isSame(order) && present.status() != LoadedModel.Status.FAILED) {
        return Outcome.APPLIED;
      }
    }
    models.removeIf(present -> present.isSame(order));
    models.add(
        new LoadedModel(
            model, order.versionOrDefault(), order.adapter(), LoadedModel.Status.LOADING));
    return Outcome.LOADING;
  }

  private Outcome unload(Order order) {
    if (order.model() == null) {
      return Outcome.INVALID;
    }
    models.removeIf(present -> present.isSame(order));
    return Outcome.APPLIED;
  }

  private Outcome changeRole(Order order) {
    String changed = order.role();
    if (changed == null) {
      return Outcome.INVALID;
    }
    role = changed;
    return Outcome.APPLIED;
  }

  /** Ends the load that an order started, unless it was unloaded meanwhile. */
  void finishLoad(Order order, boolean fetched) {
    LoadedModel.Status status = fetched ? LoadedModel.Status.LOADED : LoadedModel.Status.FAILED;
    models.replaceAll(
        present ->
            present.isSame(order) && present.status() == LoadedModel.Status.LOADING
                ? present.withStatus(status)
                : present);
  }

  boolean hasLoaded(String model) {
    return models.stream()
        .anyMatch(
            present ->
                present.model().equals(model) && present.status() == LoadedModel.Status.LOADED);
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
