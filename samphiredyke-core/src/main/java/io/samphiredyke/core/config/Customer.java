package io.samphiredyke.core.config;

import java.util.Set;

/**
 * Someone who calls services, known by the digests of API keys.
 *
 * @param name the unique name
 * @param keyDigests the SHA-256 digests of the API keys, in lower-case hexadecimal
 * @param inFlightLimit the largest number of requests in flight at once
 * @param tokensPerMinute the largest number of tokens, read and written, per minute
 * @param weight the share in fair queueing within a tier, relative to other customers
 */
public record Customer(
    String name, Set<String> keyDigests, int inFlightLimit, long tokensPerMinute, int weight)
    implements Item {

  /** Copies the sets in their natural order. */
  public Customer {
    keyDigests = SortedSets.copyOf(keyDigests);
  }

  @Override
  public ItemKind itemKind() {
    return ItemKind.CUSTOMER;
  }

  /** Returns a builder with default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns a builder with the values of this item. */
  public Builder toBuilder() {
    Builder builder = new Builder();
    builder.name = name;
    builder.keyDigests = keyDigests;
    builder.inFlightLimit = inFlightLimit;
    builder.tokensPerMinute = tokensPerMinute;
    builder.weight = weight;
    return builder;
  }

  /** Collects the values of a Customer. */
  public static final class Builder {
    private String name = "";
    private Set<String> keyDigests = Set.of();
    private int inFlightLimit = 64;
    private long tokensPerMinute = 1_000_000L;
    private int weight = 1;

    private Builder() {}

    /** Sets the unique name. */
    public Builder name(String name) {
      this.name = name;
      return this;
    }

    /** Sets the SHA-256 digests of the API keys, in lower-case hexadecimal. */
    public Builder keyDigests(Set<String> keyDigests) {
      this.keyDigests = keyDigests;
      return this;
    }

    /** Sets the largest number of requests in flight at once. */
    public Builder inFlightLimit(int inFlightLimit) {
      this.inFlightLimit = inFlightLimit;
      return this;
    }

    /** Sets the largest number of tokens, read and written, per minute. */
    public Builder tokensPerMinute(long tokensPerMinute) {
      this.tokensPerMinute = tokensPerMinute;
      return this;
    }

    /** Sets the share in fair queueing within a tier, relative to other customers. */
    public Builder weight(int weight) {
      this.weight = weight;
      return this;
    }

    /** Returns the item. */
    public Customer build() {
      return new Customer(name, keyDigests, inFlightLimit, tokensPerMinute, weight);
    }
  }
}
