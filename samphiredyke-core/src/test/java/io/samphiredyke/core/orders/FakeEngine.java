package io.samphiredyke.core.orders;

import io.samphiredyke.core.orders.EngineState.ModelArtifact;
import io.samphiredyke.core.orders.EngineState.Status;
import java.util.HashMap;
import java.util.Map;

/** Simulated engine whose loads take time and which counts stale orders that it applied. */
final class FakeEngine {

  final String name;
  final boolean checksFence;
  final Map<ModelArtifact, Status> artifacts = new HashMap<>();
  String role = "none";
  long highestFence = -1;
  int staleOrders;

  FakeEngine(String name, boolean checksFence) {
    this.name = name;
    this.checksFence = checksFence;
    artifacts.put(new ModelArtifact("old", "1", null), Status.LOADED);
  }

  EngineState state() {
    return new EngineState(role, artifacts);
  }

  /** Applies an order; returns whether it was accepted. */
  boolean apply(EngineOrder order) {
    if (order.fence() < highestFence && checksFence) {
      return false;
    }
    if (order.fence() < highestFence) {
      staleOrders++;
    }
    highestFence = Math.max(highestFence, order.fence());
    switch (order.kind()) {
      case ROLE -> role = order.role();
      case UNLOAD -> artifacts.remove(artifactOf(order));
      default -> artifacts.putIfAbsent(artifactOf(order), Status.LOADING);
    }
    return true;
  }

  void finishLoad(EngineOrder order) {
    artifacts.replace(artifactOf(order), Status.LOADING, Status.LOADED);
  }

  static ModelArtifact artifactOf(EngineOrder order) {
    return new ModelArtifact(order.model(), order.version(), order.adapter());
  }
}
