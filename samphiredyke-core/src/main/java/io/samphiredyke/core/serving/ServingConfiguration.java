package io.samphiredyke.core.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Immutable version of routes, services, customers and limits, with the lookups for requests. */
public final class ServingConfiguration {

  /** Assumed longest duration of a request on a route without a timeout. */
  private static final Duration UNLIMITED_TIMEOUT = Duration.ofSeconds(60);

  private final long version;
  private final List<Route> routes;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, ServiceSpec> services = new HashMap<>();
  private final Map<String, CustomerSpec> customersByKey = new HashMap<>();
  private final Map<String, CustomerSpec> customersByName = new HashMap<>();
  private final CallerLimits limits;

  /** Creates a version. If two customers have the same API key, it belongs to the first one. */
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

  /** Returns the version number, which never decreases. */
  public long version() {
    return version;
  }

  /** Returns all routes. */
  public List<Route> routes() {
    return routes;
  }

  /** Returns the longest timeout of a route, {@link #UNLIMITED_TIMEOUT} if one sets none. */
  public Duration longestTimeout() {
    long longest = 0;
    for (Route route : routes()) {
      if (route.timeoutMillis() <= 0) {
        return UNLIMITED_TIMEOUT;
      }
      longest = Math.max(longest, route.timeoutMillis());
    }
    return Duration.ofMillis(longest);
  }

  /**
   * Returns the route with the longest matching path prefix, or null.
   *
   * @param hostName host name in lower case, without port
   * @param path path without query, as received
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

  /** Returns the customer to whom an API key belongs, or null. */
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

  /** Returns whether requests need API keys, that is, whether any customer is configured. */
  public boolean needsKeys() {
    return !customersByName.isEmpty();
  }

  /** Returns the limits of caller connections. */
  public CallerLimits limits() {
    return limits;
  }
}
