package io.samphiredyke.core.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collections;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Immutable view of the configuration at an offset of the log, with lookups by name.
 *
 * @see ConfigurationState
 */
public final class Configuration {

  private static final Configuration EMPTY = new Configuration(0, new TreeMap<>());

  private final long nextOffset;
  private final SortedMap<ItemKey, VersionedItem> items;
  private final Defaults defaults;
  private final Map<String, Service> services = new HashMap<>();
  private final Map<String, Customer> customersByDigest = new HashMap<>();
  private final Map<String, Endpoint> endpoints = new TreeMap<>();
  private final Map<String, List<Endpoint>> endpointsByService = new HashMap<>();
  private volatile @Nullable String digest;

  Configuration(long nextOffset, SortedMap<ItemKey, VersionedItem> items) {
    this.nextOffset = nextOffset;
    this.items = Collections.unmodifiableSortedMap(new TreeMap<>(items));
    this.defaults =
        item(new ItemKey(ItemKind.DEFAULTS, Defaults.NAME))
            .map(Defaults.class::cast)
            .orElseGet(() -> Defaults.builder().build());
    this.items.values().forEach(versioned -> index(versioned.item()));
    services.values().forEach(service -> endpointsByService.put(service.name(), serving(service)));
  }

  /** Returns the configuration before the first record. */
  public static Configuration empty() {
    return EMPTY;
  }

  /**
   * Returns this configuration at a later offset; no record in between may have changed an item.
   */
  Configuration at(long laterOffset) {
    Configuration later = new Configuration(laterOffset, items);
    later.digest = digest;
    return later;
  }

  private void index(Item item) {
    if (item instanceof Service service) {
      services.put(service.name(), withDefaults(service));
    } else if (item instanceof Customer customer) {
      customer.keyDigests().forEach(key -> customersByDigest.put(key, customer));
    } else if (item instanceof Endpoint endpoint) {
      endpoints.put(endpoint.name(), endpoint);
    }
  }

  private Service withDefaults(Service service) {
    return service.toBuilder()
        .deadlineMillis(orElse(service.deadlineMillis(), defaults.deadlineMillis()))
        .firstTokenMillis(orElse(service.firstTokenMillis(), defaults.firstTokenMillis()))
        .tokenIntervalMillis(orElse(service.tokenIntervalMillis(), defaults.tokenIntervalMillis()))
        .outputTokensHint((int) orElse(service.outputTokensHint(), defaults.outputTokensHint()))
        .build();
  }

  private static long orElse(long value, long fallback) {
    return value == 0 ? fallback : value;
  }

  private List<Endpoint> serving(Service service) {
    return endpoints.values().stream().filter(endpoint -> serves(endpoint, service)).toList();
  }

  private static boolean serves(Endpoint endpoint, Service service) {
    if (!service.dataCentres().contains(endpoint.dataCentre())) {
      return false;
    }
    if (service.kind() == ServiceKind.PLAIN) {
      return endpoint.services().contains(service.name());
    }
    String model = service.model();
    return model != null && endpoint.models().contains(model);
  }

  /** Returns the offset of the first record of the log that is not applied here. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Returns the offset of the last applied record, or -1 before the first. */
  public long offset() {
    return nextOffset - 1;
  }

  /** Returns all items with their versions, in key order. */
  public SortedMap<ItemKey, VersionedItem> items() {
    return items;
  }

  /**
   * Returns an item as published, without defaults filled in.
   *
   * @param key the key
   */
  public Optional<Item> item(ItemKey key) {
    return Optional.ofNullable(items.get(key)).map(VersionedItem::item);
  }

  /**
   * Returns the version of an item, {@link VersionedItem#ABSENT} if it does not exist.
   *
   * @param key the key
   */
  public long version(ItemKey key) {
    VersionedItem versioned = items.get(key);
    return versioned == null ? VersionedItem.ABSENT : versioned.version();
  }

  /** Returns the default values for services. */
  public Defaults defaults() {
    return defaults;
  }

  /**
   * Returns a service with the defaults filled in.
   *
   * @param name the name
   */
  public Optional<Service> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns all services with the defaults filled in, in the order of their names. */
  public List<Service> services() {
    return items(ItemKind.SERVICE, Service.class).stream().map(this::withDefaults).toList();
  }

  /**
   * Returns the customer to whom an API key belongs.
   *
   * @param digest the SHA-256 digest of the key, in lower-case hexadecimal
   */
  public Optional<Customer> customerByKeyDigest(String digest) {
    return Optional.ofNullable(customersByDigest.get(digest));
  }

  /**
   * Returns a customer.
   *
   * @param name the name
   */
  public Optional<Customer> customer(String name) {
    return item(new ItemKey(ItemKind.CUSTOMER, name)).map(Customer.class::cast);
  }

  /** Returns all customers in the order of their names. */
  public List<Customer> customers() {
    return items(ItemKind.CUSTOMER, Customer.class);
  }

  /**
   * Returns the rank of a service's tier; 0 is the highest.
   *
   * @param service the service
   */
  public int tierRank(Service service) {
    return item(new ItemKey(ItemKind.TIER, service.tier()))
        .map(tier -> ((Tier) tier).rank())
        .orElse(Tier.MAX_RANK);
  }

  /**
   * Returns the endpoints in a service's permitted data centres that can serve it, draining ones
   * included, in the order of their names.
   *
   * @param service the name of the service
   */
  public List<Endpoint> endpointsFor(String service) {
    return endpointsByService.getOrDefault(service, List.of());
  }

  /**
   * Returns an endpoint.
   *
   * @param name the name
   */
  public Optional<Endpoint> endpoint(String name) {
    return Optional.ofNullable(endpoints.get(name));
  }

  /** Returns all endpoints in the order of their names. */
  public List<Endpoint> endpoints() {
    return List.copyOf(endpoints.values());
  }

  /**
   * Returns a data centre.
   *
   * @param name the name
   */
  public Optional<DataCentre> dataCentre(String name) {
    return item(new ItemKey(ItemKind.DATA_CENTRE, name)).map(DataCentre.class::cast);
  }

  /** Returns the desired placements, in the order of their names. */
  public List<Placement> placements() {
    return items(ItemKind.PLACEMENT, Placement.class);
  }

  /** Returns a SHA-256 digest of all items and versions, equal on nodes with equal state. */
  public String digest() {
    String known = digest;
    if (known == null) {
      known = digestOf(items);
      digest = known;
    }
    return known;
  }

  private <T extends Item> List<T> items(ItemKind kind, Class<T> type) {
    return items.values().stream()
        .map(VersionedItem::item)
        .filter(item -> item.itemKind() == kind)
        .map(type::cast)
        .toList();
  }

  private static String digestOf(SortedMap<ItemKey, VersionedItem> items) {
    MessageDigest sha256;
    try {
      sha256 = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
    for (VersionedItem versioned : items.values()) {
      String line = versioned.version() + " " + versioned.item() + "\n";
      sha256.update(line.getBytes(StandardCharsets.UTF_8));
    }
    return HexFormat.of().formatHex(sha256.digest());
  }
}
