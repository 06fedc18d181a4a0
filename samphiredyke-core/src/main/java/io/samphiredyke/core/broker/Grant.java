package io.samphiredyke.core.broker;

/**
 * Grant of a slot: the requester may dispatch the request to the endpoint.
 *
 * @param request the request that was granted
 */
public record Grant(SlotRequest request) implements BrokerDecision {}
