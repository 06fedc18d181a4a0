package io.samphiredyke.core.config;

import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * A kind of request with its model or path, its permitted places and its objectives.
 *
 * @param name the unique name
 * @param kind what answers the requests
 * @param model the model that answers, for {@link ServiceKind#MODEL} only
 * @param dataCentres the data centres that a payload of this service may enter
 * @param tier the name of the tier
 * @param idempotent whether a request may run more than once
 * @param customers the customers who may call the service; empty for all
 * @param deadlineMillis the time for the whole answer in milliseconds; 0 takes the default
 * @param firstTokenMillis the objective for the first token in milliseconds; 0 takes the default
 * @param tokenIntervalMillis the objective between tokens in milliseconds; 0 takes the default
 * @param outputTokensHint the expected tokens of an answer; 0 takes the default
 */
public record Service(
    String name,
    ServiceKind kind,
    @Nullable String model,
    Set<String> dataCentres,
    String tier,
    boolean idempotent,
    Set<String> customers,
    long deadlineMillis,
    long firstTokenMillis,
    long tokenIntervalMillis,
    int outputTokensHint)
    implements Item {

  /** Copies the sets in their natural order. */
  public Service {
    dataCentres = SortedSets.copyOf(dataCentres);
    customers = SortedSets.copyOf(customers);
  }

  @Override
  public ItemKind itemKind() {
    return ItemKind.SERVICE;
  }

  /**
   * Says whether a customer may call this service.
   *
   * @param customer the name of the customer
   */
  public boolean allowsCustomer(String customer) {
    return customers.isEmpty() || customers.contains(customer);
  }

  /** Returns a builder with default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns a builder with the values of this item. */
  public Builder toBuilder() {
    Builder builder = new Builder();
    builder.name = name;
    builder.kind = kind;
    builder.model = model;
    builder.dataCentres = dataCentres;
    builder.tier = tier;
    builder.idempotent = idempotent;
    builder.customers = customers;
    builder.deadlineMillis = deadlineMillis;
    builder.firstTokenMillis = firstTokenMillis;
    builder.tokenIntervalMillis = tokenIntervalMillis;
    builder.outputTokensHint = outputTokensHint;
    return builder;
  }

  /** Collects the values of a Service. */
  public static final class Builder {
    private String name = "";
    private ServiceKind kind = ServiceKind.MODEL;
    private @Nullable String model;
    private Set<String> dataCentres = Set.of();
    private String tier = "";
    private boolean idempotent = false;
    private Set<String> customers = Set.of();
    private long deadlineMillis = 0L;
    private long firstTokenMillis = 0L;
    private long tokenIntervalMillis = 0L;
    private int outputTokensHint = 0;

    private Builder() {}

    /** Sets the unique name. */
    public Builder name(String name) {
      this.name = name;
      return this;
    }

    /** Sets what answers the requests. */
    public Builder kind(ServiceKind kind) {
      this.kind = kind;
      return this;
    }

    /** Sets the model that answers, for {@link ServiceKind#MODEL} only. */
    public Builder model(@Nullable String model) {
      this.model = model;
      return this;
    }

    /** Sets the data centres that a payload of this service may enter. */
    public Builder dataCentres(Set<String> dataCentres) {
      this.dataCentres = dataCentres;
      return this;
    }

    /** Sets the name of the tier. */
    public Builder tier(String tier) {
      this.tier = tier;
      return this;
    }

    /** Sets whether a request may run more than once. */
    public Builder idempotent(boolean idempotent) {
      this.idempotent = idempotent;
      return this;
    }

    /** Sets the customers who may call the service; empty for all. */
    public Builder customers(Set<String> customers) {
      this.customers = customers;
      return this;
    }

    /** Sets the time for the whole answer in milliseconds; 0 takes the default. */
    public Builder deadlineMillis(long deadlineMillis) {
      this.deadlineMillis = deadlineMillis;
      return this;
    }

    /** Sets the objective for the first token in milliseconds; 0 takes the default. */
    public Builder firstTokenMillis(long firstTokenMillis) {
      this.firstTokenMillis = firstTokenMillis;
      return this;
    }

    /** Sets the objective between tokens in milliseconds; 0 takes the default. */
    public Builder tokenIntervalMillis(long tokenIntervalMillis) {
      this.tokenIntervalMillis = tokenIntervalMillis;
      return this;
    }

    /** Sets the expected tokens of an answer; 0 takes the default. */
    public Builder outputTokensHint(int outputTokensHint) {
      this.outputTokensHint = outputTokensHint;
      return this;
    }

    /** Returns the item. */
    public Service build() {
      return new Service(
          name,
          kind,
          model,
          dataCentres,
          tier,
          idempotent,
          customers,
          deadlineMillis,
          firstTokenMillis,
          tokenIntervalMillis,
          outputTokensHint);
    }
  }
}
