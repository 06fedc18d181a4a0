package io.samphiredyke.core.config;

import java.util.Set;

/**
 * A back end that requests are dispatched to.
 *
 * @param name the unique name
 * @param kind what the endpoint is
 * @param address the IP number and port, as {@code ip:port}
 * @param dataCentre the data centre where the endpoint runs
 * @param models the models that a model engine serves
 * @param services the services that a plain service serves
 * @param generation the generation of its hardware
 * @param maxConcurrency the largest number of requests to have in flight there
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param notRunStatuses the HTTP statuses that prove that a request did not run
 * @param state whether it takes new work
 */
public record Endpoint(
    String name,
    EndpointKind kind,
    String address,
    String dataCentre,
    Set<String> models,
    Set<String> services,
    int generation,
    int maxConcurrency,
    boolean checksFencing,
    Set<Integer> notRunStatuses,
    EndpointState state)
    implements Item {

  /** Copies the sets in their natural order. */
  public Endpoint {
    models = SortedSets.copyOf(models);
    services = SortedSets.copyOf(services);
    notRunStatuses = SortedSets.copyOf(notRunStatuses);
  }

  @Override
  public ItemKind itemKind() {
    return ItemKind.ENDPOINT;
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
    builder.address = address;
    builder.dataCentre = dataCentre;
    builder.models = models;
    builder.services = services;
    builder.generation = generation;
    builder.maxConcurrency = maxConcurrency;
    builder.checksFencing = checksFencing;
    builder.notRunStatuses = notRunStatuses;
    builder.state = state;
    return builder;
  }

  /** Collects the values of an Endpoint. */
  public static final class Builder {
    private String name = "";
    private EndpointKind kind = EndpointKind.MODEL_ENGINE;
    private String address = "";
    private String dataCentre = "";
    private Set<String> models = Set.of();
    private Set<String> services = Set.of();
    private int generation = 1;
    private int maxConcurrency = 16;
    private boolean checksFencing = false;
    private Set<Integer> notRunStatuses = Set.of();
    private EndpointState state = EndpointState.ACTIVE;

    private Builder() {}

    /** Sets the unique name. */
    public Builder name(String name) {
      this.name = name;
      return this;
    }

    /** Sets what the endpoint is. */
    public Builder kind(EndpointKind kind) {
      this.kind = kind;
      return this;
    }

    /** Sets the IP number and port, as {@code ip:port}. */
    public Builder address(String address) {
      this.address = address;
      return this;
    }

    /** Sets the data centre where the endpoint runs. */
    public Builder dataCentre(String dataCentre) {
      this.dataCentre = dataCentre;
      return this;
    }

    /** Sets the models that a model engine serves. */
    public Builder models(Set<String> models) {
      this.models = models;
      return this;
    }

    /** Sets the services that a plain service serves. */
    public Builder services(Set<String> services) {
      this.services = services;
      return this;
    }

    /** Sets the generation of its hardware. */
    public Builder generation(int generation) {
      this.generation = generation;
      return this;
    }

    /** Sets the largest number of requests to have in flight there. */
    public Builder maxConcurrency(int maxConcurrency) {
      this.maxConcurrency = maxConcurrency;
      return this;
    }

    /** Sets whether it refuses orders with an old fencing number. */
    public Builder checksFencing(boolean checksFencing) {
      this.checksFencing = checksFencing;
      return this;
    }

    /** Sets the HTTP statuses that prove that a request did not run. */
    public Builder notRunStatuses(Set<Integer> notRunStatuses) {
      this.notRunStatuses = notRunStatuses;
      return this;
    }

    /** Sets whether it takes new work. */
    public Builder state(EndpointState state) {
      this.state = state;
      return this;
    }

    /** Returns the item. */
    public Endpoint build() {
      return new Endpoint(
          name,
          kind,
          address,
          dataCentre,
          models,
          services,
          generation,
          maxConcurrency,
          checksFencing,
          notRunStatuses,
          state);
    }
  }
}
