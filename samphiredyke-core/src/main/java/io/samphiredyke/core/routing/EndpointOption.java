package io.samphiredyke.core.routing;

/**
 * An endpoint that may serve a request, with its expected completion time.
 *
 * @param endpoint name of the endpoint
 * @param expectedNanos expected time until the complete response, waiting included
 * @param holdOffNanos time for which the broker must hold the slot request back, because another
 *     endpoint is expected to finish earlier even if it grants later
 * @param cachedTokens prompt tokens that are probably in the prefix cache of the endpoint
 */
public record EndpointOption(
    String endpoint, long expectedNanos, long holdOffNanos, int cachedTokens) {}
