package io.samphiredyke.net.admin;

import java.util.List;

/**
 * The state of a host, returned by {@code GET /v1/status}.
 *
 * @param host the name of the host
 * @param dataCentre its data centre
 * @param address the address for callers, as {@code ip:port}
 * @param version the version of the program
 * @param draining whether the host is shutting down gracefully
 * @param configuration the active configuration
 * @param endpoints the endpoints that the host brokers
 * @param tiers the requests that this host received, by tier
 */
public record HostStatus(
    String host,
    String dataCentre,
    String address,
    String version,
    boolean draining,
    ConfigurationStatus configuration,
    List<EndpointStatus> endpoints,
    List<TierStatus> tiers) {}
