package io.samphiredyke.core.orders;

import org.jspecify.annotations.Nullable;

/**
 * Order to an engine. It is idempotent, because it names the state to be reached.
 *
 * @param kind kind of the order
 * @param model the model to load or unload, null for a role
 * @param version its version, null for a role
 * @param adapter the adapter, null for the model itself
 * @param role the role, null for a load or unload
 * @param fence fencing token of the lease under which the order is sent
 */
public record EngineOrder(
    Kind kind,
    @Nullable String model,
    @Nullable String version,
    @Nullable String adapter,
    @Nullable String role,
    long fence) {

  /** Kind of an order. */
  public enum Kind {
    /** Loads a model or an adapter. */
    LOAD,
    /** Unloads a model or an adapter. */
    UNLOAD,
    /** Changes the role. */
    ROLE
  }

  /** Returns an order to change the role. */
  public static EngineOrder role(String role, long fence) {
    return new EngineOrder(Kind.ROLE, null, null, null, role, fence);
  }

  /** Returns an order to load a model or an adapter. */
  public static EngineOrder load(EngineState.ModelArtifact artifact, long fence) {
    return new EngineOrder(
        Kind.LOAD, artifact.model(), artifact.version(), artifact.adapter(), null, fence);
  }

  /** Returns an order to unload a model or an adapter. */
  public static EngineOrder unload(EngineState.ModelArtifact artifact, long fence) {
    return new EngineOrder(
        Kind.UNLOAD, artifact.model(), artifact.version(), artifact.adapter(), null, fence);
  }
}
