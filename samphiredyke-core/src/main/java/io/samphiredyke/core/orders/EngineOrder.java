package io.samphiredyke.core.orders;

import org.jspecify.annotations.Nullable;

/**
 * One order to an engine. It names an end state, so that repeating it changes nothing.
 *
 * @param kind what to do
 * @param model the model to load or unload, null for a role
 * @param version its version, null for a role
 * @param adapter the adapter, null for the model itself
 * @param role the role, null for a load or unload
 * @param fence the fencing number of the holder
 */
public record EngineOrder(
    Kind kind,
    @Nullable String model,
    @Nullable String version,
    @Nullable String adapter,
    @Nullable String role,
    long fence) {

  /** What an order does. */
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
  public static EngineOrder load(EngineState.ModelArtifact part, long fence) {
    return new EngineOrder(Kind.LOAD, part.model(), part.version(), part.adapter(), null, fence);
  }

  /** Returns an order to unload a model or an adapter. */
  public static EngineOrder unload(EngineState.ModelArtifact part, long fence) {
    return new EngineOrder(Kind.UNLOAD, part.model(), part.version(), part.adapter(), null, fence);
  }
}
