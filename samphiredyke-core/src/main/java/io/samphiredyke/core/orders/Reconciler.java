package io.samphiredyke.core.orders;

import io.samphiredyke.core.config.Placement;
import io.samphiredyke.core.orders.EngineState.ModelArtifact;
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
final class Reconciler {

  private static final Comparator<ModelArtifact> BY_NAME =
      Comparator.comparing(ModelArtifact::model)
          .thenComparing(ModelArtifact::version)
          .thenComparing(part -> String.valueOf(part.adapter()));

  private Reconciler() {}

  /** Returns the next order, or null if the engine is in the wanted state. */
  static @Nullable EngineOrder next(Placement wanted, EngineState state, long fence) {
    if (!state.role().equals(wanted.role())) {
      return EngineOrder.role(wanted.role(), fence);
    }
    List<ModelArtifact> parts = partsOf(wanted);
    for (ModelArtifact part : parts) {
      if (state.artifacts().get(part) != Status.LOADED) {
        return EngineOrder.load(part, fence);
      }
    }
    return state.artifacts().keySet().stream()
        .filter(part -> !parts.contains(part))
        .min(BY_NAME)
        .map(part -> EngineOrder.unload(part, fence))
        .orElse(null);
  }

  private static List<ModelArtifact> partsOf(Placement wanted) {
    List<ModelArtifact> parts = new ArrayList<>();
    parts.add(new ModelArtifact(wanted.model(), wanted.version(), null));
    wanted
        .adapters()
        .forEach(a -> parts.add(new ModelArtifact(wanted.model(), wanted.version(), a)));
    return parts;
  }
}
