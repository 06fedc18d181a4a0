package io.samphiredyke.core.config;

/**
 * A data centre, where hosts and endpoints run and to which a service's data may be restricted.
 *
 * @param name the unique name
 * @param region the region that the data centre belongs to
 */
public record DataCentre(String name, String region) implements Item {

  @Override
  public ItemKind itemKind() {
    return ItemKind.DATA_CENTRE;
  }

  /** Returns a builder with default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns a builder with the values of this item. */
  public Builder toBuilder() {
    Builder builder = new Builder();
    builder.name = name;
    builder.region = region;
    return builder;
  }

  /** Builds a {@link DataCentre}. */
  public static final class Builder {
    private String name = "";
    private String region = "";

    private Builder() {}

    /** Sets the unique name. */
    public Builder name(String name) {
      this.name = name;
      return this;
    }

    /** Sets the region that the data centre belongs to. */
    public Builder region(String region) {
      this.region = region;
      return this;
    }

    /** Returns the data centre. */
    public DataCentre build() {
      return new DataCentre(name, region);
    }
  }
}
