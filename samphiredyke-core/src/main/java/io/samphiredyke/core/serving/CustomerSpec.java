package io.samphiredyke.core.serving;

import java.util.Set;

/**
 * A customer as configured.
 *
 * @param name name of the customer
 * @param apiKeys keys that identify its requests
 * @param rank importance that replaces the route's, or -1 for the route's
 * @param ratePerSecond quota in units a second over all hosts, 0 for none
 * @param burst units beyond the rate
 * @param countsTokens whether a unit is a token rather than a request
 * @param defaultRequestTokens tokens that a request without token counts stands for
 */
public record CustomerSpec(
    String name,
    Set<String> apiKeys,
    int rank,
    long ratePerSecond,
    long burst,
    boolean countsTokens,
    int defaultRequestTokens) {}
