package io.samphiredyke.core.broker;

/**
 * The entry may dispatch the request to the endpoint.
 *
 * @param request the claim that was granted
 */
public record Grant(SlotRequest request) implements BrokerDecision {}
