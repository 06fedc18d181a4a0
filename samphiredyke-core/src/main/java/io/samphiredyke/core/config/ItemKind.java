package io.samphiredyke.core.config;

import java.util.Locale;

/** Kind of a configuration item. */
public enum ItemKind {
  /** A {@link Tier}. */
  TIER(Tier.class),
  /** A {@link DataCentre}. */
  DATA_CENTRE(DataCentre.class),
  /** A {@link Customer}. */
  CUSTOMER(Customer.class),
  /** A {@link Service}. */
  SERVICE(Service.class),
  /** An {@link Endpoint}. */
  ENDPOINT(Endpoint.class),
  /** A {@link Placement}. */
  PLACEMENT(Placement.class),
  /** The {@link Defaults} of the deployment. */
  DEFAULTS(Defaults.class);

  private final Class<? extends Item> itemClass;

  ItemKind(Class<? extends Item> itemClass) {
    this.itemClass = itemClass;
  }

  /** Returns the class of the items of this kind. */
  public Class<? extends Item> itemClass() {
    return itemClass;
  }

  /** Returns the name of this kind in messages, such as {@code data centre}. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
