package io.samphiredyke.core.orders;

import io.samphiredyke.core.orders.EngineState.ModelArtifact;
import io.samphiredyke.core.orders.EngineState.Status;
import java.util.HashMap;
import java.util.Map;

/** An engine whose loads take time and which records orders that came after newer ones. */
final class FakeEngine {

  final String name;
  final boolean checksFence;
  final Map<ModelArtifact, Status> parts = new HashMap<>();
  String role = "none";
  long highestFence = -1;
  int overtaken;

  FakeEngine(String name, boolean checksFence) {
    this.name = name;
    this.checksFence = checksFence;
    parts.put(new ModelArtifact("old", "1", null), Status.LOADED);
  }

  EngineState state() {
    return new EngineState(role, parts);
  }

  /** Returns whether the order was taken. */
  boolean apply(EngineOrder order) {
    if (order.fence() < highestFence && checksFence) {
      return false;
    }
    if (order.fence() < highestFence) {
      overtaken++;
    }
    highestFence = Math.max(highestFence, order.fence());
    switch (order.kind()) {
      case ROLE -> role = order.role();
      case UNLOAD -> parts.remove(partOf(order));
      default -> parts.putIfAbsent(partOf(order), Status.LOADING);
    }
    return true;
  }

  void finishLoad(EngineOrder order) {
    parts.replace(partOf(order), Status.LOADING, Status.LOADED);
  }

  static ModelArtifact partOf(EngineOrder order) {
    return new ModelArtifact(order.model(), order.version(), order.adapter());
  }
}
