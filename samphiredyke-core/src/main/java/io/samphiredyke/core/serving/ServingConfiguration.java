package io.samphiredyke.core.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** One version of routes, services, customers and limits, with the look-ups a request needs. */
public final class ServingConfiguration {

  private final long version;
  private final List<Route> routes;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, ServiceSpec> services = new HashMap<>();
  private final Map<String, CustomerSpec> customersByKey = new HashMap<>();
  private final Map<String, CustomerSpec> customersByName = new HashMap<>();
  private final CallerLimits limits;

  /** Creates a version; of two customers with the same key the first one holds it. */
  public ServingConfiguration(
      long version,
      List<Route> routes,
      List<ServiceSpec> services,
      List<CustomerSpec> customers,
      CallerLimits limits) {
    this.version = version;
    this.routes = List.copyOf(routes);
    this.limits = limits;
    routes.forEach(
        route ->
            routesByHost.computeIfAbsent(route.hostName(), key -> new ArrayList<>()).add(route));
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
    routesByHost.values().forEach(list -> list.sort(longestFirst));
    services.forEach(service -> this.services.put(service.name(), service));
    for (CustomerSpec customer : customers) {
      customersByName.put(customer.name(), customer);
      customer.apiKeys().forEach(key -> customersByKey.putIfAbsent(key, customer));
    }
  }

  /** Returns the version number, which only grows. */
  public long version() {
    return version;
  }

  /** Returns all routes. */
  public List<Route> routes() {
    return routes;
  }

  /**
   * Returns the route with the longest matching prefix, or null.
   *
   * @param hostName host name in lower case, without port
   * @param path path without query, as sent
   */
  public @Nullable Route route(String hostName, String path) {
    for (Route route : routesByHost.getOrDefault(hostName, List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return route;
      }
    }
    return null;
  }

  /** Returns a service, or null. */
  public @Nullable ServiceSpec service(String name) {
    return services.get(name);
  }

  /** Returns the customer that holds a key, or null. */
  public @Nullable CustomerSpec customerOfKey(String key) {
    return customersByKey.get(key);
  }

  /** Returns a customer, or null. */
  public @Nullable CustomerSpec customer(String name) {
    return customersByName.get(name);
  }

  /** Returns all customers. */
  public Collection<CustomerSpec> customers() {
    return customersByName.values();
  }

  /** Returns whether any customer is configured, so that requests need keys. */
  public boolean needsKeys() {
    return !customersByName.isEmpty();
  }

  /** Returns the limits for callers. */
  public CallerLimits limits() {
    return limits;
  }
}
