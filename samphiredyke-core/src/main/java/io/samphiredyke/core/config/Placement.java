package io.samphiredyke.core.config;

import java.util.Set;

/**
 * Desired model state of an endpoint; orders are issued until the endpoint has it.
 *
 * @param name the unique name
 * @param endpoint the name of the model engine
 * @param model the desired model
 * @param version the desired version of the model
 * @param adapters the desired adapters
 * @param role the desired role, such as {@code prefill}, {@code decode} or {@code mixed}
 */
public record Placement(
    String name, String endpoint, String model, String version, Set<String> adapters, String role)
    implements Item {

  /** Copies the set in natural order. */
  public Placement {
    adapters = SortedSets.copyOf(adapters);
  }

  @Override
  public ItemKind itemKind() {
    return ItemKind.PLACEMENT;
  }

  /** Returns a builder with default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns a builder with the values of this item. */
  public Builder toBuilder() {
    Builder builder = new Builder();
    builder.name = name;
    builder.endpoint = endpoint;
    builder.model = model;
    builder.version = version;
    builder.adapters = adapters;
    builder.role = role;
    return builder;
  }

  /** Builds a {@link Placement}. */
  public static final class Builder {
    private String name = "";
    private String endpoint = "";
    private String model = "";
    private String version = "";
    private Set<String> adapters = Set.of();
    private String role = "mixed";

    private Builder() {}

    /** Sets the unique name. */
    public Builder name(String name) {
      this.name = name;
      return this;
    }

    /** Sets the name of the model engine. */
    public Builder endpoint(String endpoint) {
      this.endpoint = endpoint;
      return this;
    }

    /** Sets the desired model. */
    public Builder model(String model) {
      this.model = model;
      return this;
    }

    /** Sets the desired version of the model. */
    public Builder version(String version) {
      this.version = version;
      return this;
    }

    /** Sets the desired adapters. */
    public Builder adapters(Set<String> adapters) {
      this.adapters = adapters;
      return this;
    }

    /** Sets the desired role, such as {@code prefill}, {@code decode} or {@code mixed}. */
    public Builder role(String role) {
      this.role = role;
      return this;
    }

    /** Returns the placement. */
    public Placement build() {
      return new Placement(name, endpoint, model, version, adapters, role);
    }
  }
}
