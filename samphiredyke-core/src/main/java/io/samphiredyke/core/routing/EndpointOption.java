package io.samphiredyke.core.routing;

/**
 * An endpoint at which a request may be claimed.
 *
 * @param endpoint name of the endpoint
 * @param expectedNanos expected time until the whole answer, waiting included
 * @param holdOffNanos time for which the broker must hold the claim back because another endpoint
 *     is expected to finish earlier even if it grants later
 * @param cachedTokens prompt tokens that the endpoint is believed to hold
 */
public record EndpointOption(
    String endpoint, long expectedNanos, long holdOffNanos, int cachedTokens) {}
