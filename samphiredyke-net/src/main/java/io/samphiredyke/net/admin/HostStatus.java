package io.samphiredyke.net.admin;

import java.util.List;

/**
 * The state of a host, the answer to {@code GET /v1/status}.
 *
 * @param host the name of the host
 * @param dataCentre its data centre
 * @param address where callers reach it, as {@code ip:port}
 * @param version the version of the program
 * @param draining whether it is being stopped
 * @param configuration the configuration in force
 * @param endpoints the endpoints that it brokers
 * @param tiers the requests that entered here, by tier
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
