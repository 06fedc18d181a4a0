package io.samphiredyke.core.broker;

/**
 * The entry may dispatch the request to the endpoint.
 *
 * @param claim the claim that was granted
 */
public record Grant(Claim claim) implements BrokerDecision {}
