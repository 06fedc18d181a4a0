package io.samphiredyke.core.orders;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * State reported by an engine.
 *
 * @param role role of the engine
 * @param artifacts load status of each model and adapter
 */
public record EngineState(String role, Map<ModelArtifact, Status> artifacts) {

  /** Copies the map. */
  public EngineState {
    artifacts = Map.copyOf(artifacts);
  }

  /**
   * A model or an adapter.
   *
   * @param model the model
   * @param version its version
   * @param adapter the adapter, null for the model itself
   */
  public record ModelArtifact(String model, String version, @Nullable String adapter) {}

  /** Load status of a model or an adapter. */
  public enum Status {
    /** The weights are being fetched. */
    LOADING,
    /** The model or adapter is loaded and serves requests. */
    LOADED,
    /** The weights could not be fetched. */
    FAILED
  }

  /** Returns whether a model or an adapter is being loaded. */
  public boolean isLoading() {
    return artifacts.containsValue(Status.LOADING);
  }

  /** Returns whether a load failed. */
  public boolean hasFailed() {
    return artifacts.containsValue(Status.FAILED);
  }
}
