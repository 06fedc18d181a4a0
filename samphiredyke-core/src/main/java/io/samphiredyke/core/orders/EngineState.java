package io.samphiredyke.core.orders;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * What an engine reports of its state.
 *
 * @param role its role
 * @param artifacts how far each model and adapter is
 */
public record EngineState(String role, Map<ModelArtifact, Status> artifacts) {

  /** Copies the parts. */
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

  /** How far a load is. */
  public enum Status {
    /** Its weights are being fetched. */
    LOADING,
    /** It serves requests. */
    LOADED,
    /** Its weights could not be fetched. */
    FAILED
  }

  /** Returns whether anything is being loaded. */
  public boolean isLoading() {
    return artifacts.containsValue(Status.LOADING);
  }

  /** Returns whether a load failed. */
  public boolean hasFailed() {
    return artifacts.containsValue(Status.FAILED);
  }
}
