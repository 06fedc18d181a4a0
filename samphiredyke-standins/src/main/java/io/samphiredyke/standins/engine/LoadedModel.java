package io.samphiredyke.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * A model that is loaded on an engine, or is being loaded.
 *
 * @param model the name
 * @param version the version
 * @param adapter the adapter, or null
 * @param status {@code loading}, {@code loaded} or {@code failed}
 */
public record LoadedModel(String model, String version, @Nullable String adapter, Status status) {

  /** The status of a load. */
  public enum Status {
    /** Its weights are being fetched. */
    @JsonProperty("loading")
    LOADING,
    /** It serves requests. */
    @JsonProperty("loaded")
    LOADED,
    /** Its weights could not be fetched. */
    @JsonProperty("failed")
    FAILED
  }

  /** Returns a copy with a different status. */
  LoadedModel withStatus(Status changed) {
    return new LoadedModel(model, version, adapter, changed);
  }

  boolean matches(Order order) {
    return model.equals(order.model())
        && version.equals(order.versionOrDefault())
        && Objects.equals(adapter, order.adapter());
  }
}
