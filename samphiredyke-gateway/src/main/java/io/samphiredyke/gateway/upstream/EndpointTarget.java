package io.samphiredyke.gateway.upstream;

/**
 * Where a request is sent.
 *
 * @param endpointId id of the endpoint
 * @param address {@code ip:port} as registered by the endpoint
 */
public record EndpointTarget(String endpointId, String address) {}
