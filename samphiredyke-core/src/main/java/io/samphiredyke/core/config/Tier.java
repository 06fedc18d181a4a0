package io.samphiredyke.core.config;

/**
 * A class of importance of requests; a lower rank is more important.
 *
 * @param name the unique name
 * @param rank 0 for the most important, at most {@link Tier#MAX_RANK}
 */
public record Tier(String name, int rank) implements Item {

  /** The rank of the least important of the four tiers. */
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

  /** Collects the values of a Tier. */
  public static final class Builder {
    private String name = "";
    private int rank = 0;

    private Builder() {}

    /** Sets the unique name. */
    public Builder name(String name) {
      this.name = name;
      return this;
    }

    /** Sets 0 for the most important, at most {@link Tier#MAX_RANK}. */
    public Builder rank(int rank) {
      this.rank = rank;
      return this;
    }

    /** Returns the item. */
    public Tier build() {
      return new Tier(name, rank);
    }
  }
}
