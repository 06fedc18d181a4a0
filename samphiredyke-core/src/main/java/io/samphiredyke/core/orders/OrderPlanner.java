package io.samphiredyke.core.orders;

import io.samphiredyke.core.config.Placement;
import io.samphiredyke.core.orders.EngineState.Part;
import io.samphiredyke.core.orders.EngineState.Status;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Finds the next order on the way from an engine's state to the wanted one.
 *
 * <p>What is wanted is loaded before the rest is unloaded, so that a new version serves before the
 * old one goes.
 */
final class OrderPlanner {

  private static final Comparator<Part> BY_NAME =
      Comparator.comparing(Part::model)
          .thenComparing(Part::version)
          .thenComparing(part -> String.valueOf(part.adapter()));

  private OrderPlanner() {}

  /** Returns the next order, or null if the engine is in the wanted state. */
  static @Nullable EngineOrder next(Placement wanted, EngineState state, long fence) {
    if (!state.role().equals(wanted.role())) {
      return EngineOrder.role(wanted.role(), fence);
    }
    List<Part> parts = artifactsOf(wanted);
    for (Part part : parts) {
      if (state.parts().get(part) != Status.LOADED) {
        return EngineOrder.load(part, fence);
      }
    }
    return state.parts().keySet().stream()
        .filter(part -> !parts.contains(part))
        .min(BY_NAME)
        .map(part -> EngineOrder.unload(part, fence))
        .orElse(null);
  }

  private static List<Part> artifactsOf(Placement wanted) {
    List<Part> parts = new ArrayList<>();
    parts.add(new Part(wanted.model(), wanted.version(), null));
    wanted.adapters().forEach(a -> parts.add(new Part(wanted.model(), wanted.version(), a)));
    return parts;
  }
}
