package io.samphiredyke.net.admin;

/**
 * An endpoint as the broker on a host sees it.
 *
 * @param name the name of the endpoint
 * @param state {@code ACTIVE} or {@code LEAVING}
 * @param inFlight how many requests are in flight there
 * @param limit how many may be
 * @param queued how many claims wait for it
 */
public record EndpointStatus(String name, String state, int inFlight, int limit, int queued) {}
