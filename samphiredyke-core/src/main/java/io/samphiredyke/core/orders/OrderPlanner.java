package io.samphiredyke.core.orders;

import io.samphiredyke.core.config.Placement;
import io.samphiredyke.core.orders.EngineState.ModelArtifact;
import io.samphiredyke.core.orders.EngineState.Status;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Determines the next order needed to bring an engine from its actual to its desired state.
 *
 * <p>The desired artifacts are loaded before others are unloaded, so that a new version can serve
 * requests before the old one is removed.
 */
final class OrderPlanner {

  private static final Comparator<ModelArtifact> BY_NAME =
      Comparator.comparing(ModelArtifact::model)
          .thenComparing(ModelArtifact::version)
          .thenComparing(artifact -> String.valueOf(artifact.adapter()));

  private OrderPlanner() {}

  /** Returns the next order, or null if the engine is in the desired state. */
  static @Nullable EngineOrder next(Placement desired, EngineState state, long fence) {
    if (!state.role().equals(desired.role())) {
      return EngineOrder.role(desired.role(), fence);
    }
    List<ModelArtifact> artifacts = artifactsOf(desired);
    for (ModelArtifact artifact : artifacts) {
      if (state.artifacts().get(artifact) != Status.LOADED) {
        return EngineOrder.load(artifact, fence);
      }
    }
    return state.artifacts().keySet().stream()
        .filter(artifact -> !artifacts.contains(artifact))
        .min(BY_NAME)
        .map(artifact -> EngineOrder.unload(artifact, fence))
        .orElse(null);
  }

  private static List<ModelArtifact> artifactsOf(Placement desired) {
    List<ModelArtifact> artifacts = new ArrayList<>();
    artifacts.add(new ModelArtifact(desired.model(), desired.version(), null));
    desired
        .adapters()
        .forEach(a -> artifacts.add(new ModelArtifact(desired.model(), desired.version(), a)));
    return artifacts;
  }
}
