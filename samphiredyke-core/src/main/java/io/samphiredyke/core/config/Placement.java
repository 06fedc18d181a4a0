package io.samphiredyke.core.config;

import java.util.Set;

/**
 * The model state wanted on an endpoint, brought about by orders.
 *
 * @param name the unique name
 * @param endpoint the name of the model engine
 * @param model the wanted model
 * @param version the wanted version of the model
 * @param adapters the wanted adapters
 * @param role the wanted role, such as {@code prefill}, {@code decode} or {@code mixed}
 */
public record Placement(
    String name, String endpoint, String model, String version, Set<String> adapters, String role)
    implements Item {

  /** Copies the sets in their natural order. */
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

  /** Collects the values of a Placement. */
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

    /** Sets the wanted model. */
    public Builder model(String model) {
      this.model = model;
      return this;
    }

    /** Sets the wanted version of the model. */
    public Builder version(String version) {
      this.version = version;
      return this;
    }

    /** Sets the wanted adapters. */
    public Builder adapters(Set<String> adapters) {
      this.adapters = adapters;
      return this;
    }

    /** Sets the wanted role, such as {@code prefill}, {@code decode} or {@code mixed}. */
    public Builder role(String role) {
      this.role = role;
      return this;
    }

    /** Returns the item. */
    public Placement build() {
      return new Placement(name, endpoint, model, version, adapters, role);
    }
  }
}
