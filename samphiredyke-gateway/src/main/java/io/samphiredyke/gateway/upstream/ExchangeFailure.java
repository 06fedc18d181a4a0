package io.samphiredyke.gateway.upstream;

/**
 * Why an exchange with an endpoint failed.
 *
 * @param isUnsent whether no part of the request can have reached the endpoint
 * @param wasReused whether the request was sent on a connection that had been used before
 * @param isConnectionEnd whether the endpoint closed or reset the connection
 * @param isPathSuspect whether the path to the endpoint may have failed rather than the endpoint
 * @param reason description of the failure
 */
public record ExchangeFailure(
    boolean isUnsent,
    boolean wasReused,
    boolean isConnectionEnd,
    boolean isPathSuspect,
    String reason) {}
