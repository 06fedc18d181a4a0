package io.samphiredyke.core.serving;

import java.util.Set;

/**
 * Configuration of a customer.
 *
 * @param name name of the customer
 * @param apiKeys API keys that identify its requests
 * @param rank rank that overrides the route's, 0 is the highest; -1 to use the route's
 * @param ratePerSecond quota in units per second over all hosts, 0 for none
 * @param burst units that may be used at once beyond the rate
 * @param countsTokens whether a unit is a token instead of a request
 * @param defaultRequestTokens tokens charged for a request without token counts
 */
public record CustomerSpec(
    String name,
    Set<String> apiKeys,
    int rank,
    long ratePerSecond,
    long burst,
    boolean countsTokens,
    int defaultRequestTokens) {}
