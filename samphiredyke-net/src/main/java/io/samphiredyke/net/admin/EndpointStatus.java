package io.samphiredyke.net.admin;

/**
 * The state of an endpoint that a host brokers.
 *
 * @param name the name of the endpoint
 * @param state {@code ACTIVE} or {@code LEAVING}
 * @param inFlight the number of requests in flight at the endpoint
 * @param limit the concurrency limit in force
 * @param queued the number of slot requests waiting for the endpoint
 */
public record EndpointStatus(String name, String state, int inFlight, int limit, int queued) {}
