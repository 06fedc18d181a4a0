package io.samphiredyke.gateway.upstream;

/**
 * Why an exchange with an endpoint failed.
 *
 * @param isUnsent whether nothing of the request can have reached the endpoint
 * @param wasReused whether the request was written to a connection that had been used before
 * @param reason what happened
 */
public record ExchangeFailure(boolean isUnsent, boolean wasReused, String reason) {}
