package io.samphiredyke.core.config;

/**
 * A priority class of requests.
 *
 * @param name the unique name
 * @param rank the priority; 0 is the highest, {@link Tier#MAX_RANK} the lowest
 */
public record Tier(String name, int rank) implements Item {

  /** The rank of the lowest of the four tiers. */
  public static final int MAX_RANK = 3;

  @Override
  public ItemKind itemKind() {
    return ItemKind.TIER;
  }

  /** Returns a builder with default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns a builder with the values of this item. */
  public Builder toBuilder() {
    Builder builder = new Builder();
    builder.name = name;
    builder.rank = rank;
    return builder;
  }

  /** Builds a {@link Tier}. */
  public static final class Builder {
    private String name = "";
    private int rank = 0;

    private Builder() {}

    /** Sets the unique name. */
    public Builder name(String name) {
      this.name = name;
      return this;
    }

    /** Sets the priority; 0 is the highest, {@link Tier#MAX_RANK} the lowest. */
    public Builder rank(int rank) {
      this.rank = rank;
      return this;
    }

    /** Returns the tier. */
    public Tier build() {
      return new Tier(name, rank);
    }
  }
}
